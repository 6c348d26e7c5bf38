"""A TCP connection that carries frames, with a limit on the unsent bytes."""

from __future__ import annotations

from typing import Any, cast

from twisted.protocols.basic import Int32StringReceiver

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.transport.frames import MAX_FRAME_BYTES, Frame, FrameDecoder, decode_frame, encode
from lichencleat.transport.twisted_types import TcpTransport

# Limit on the bytes that the kernel has not accepted yet: enough for a window of snapshot chunks.
MAX_UNSENT_BYTES = 8 << 20


class FramedProtocol(Int32StringReceiver):
    """Sends frames, and decodes received frames for a subclass, which handles them."""

    MAX_LENGTH = MAX_FRAME_BYTES
    decode_frame: FrameDecoder = staticmethod(decode_frame)

    @property
    def tcp(self) -> TcpTransport:
        """The transport of this connection; available once the connection is made."""
        return cast(TcpTransport, self.transport)

    def send(self, frame: Frame) -> bool:
        """Send a frame; without a connection, or with too many unsent bytes, drop it and return False."""
        if not self.connected or self.unsent_bytes() > MAX_UNSENT_BYTES:
            return False
        self.sendString(encode(frame))  # type: ignore[no-untyped-call]
        return True

    def unsent_bytes(self) -> int:
        """Return the number of bytes that are not yet accepted by the kernel."""
        transport: Any = self.transport  # Twisted's interfaces do not include a buffer's size
        if not hasattr(transport, "_tempDataLen"):  # the transport of a test
            return 0
        return int(len(transport.dataBuffer) + transport._tempDataLen)

    def read(self, data: bytes) -> Frame | None:
        """Decode a frame; if that fails, abort the connection and return None."""
        try:
            return self.decode_frame(data)
        except UNDECODABLE:
            self.tcp.abortConnection()
            return None

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection: the announced length exceeds MAX_FRAME_BYTES."""
        self.tcp.abortConnection()
