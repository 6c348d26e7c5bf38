"""A TCP connection that carries frames, with a bound on what waits to be written."""

from __future__ import annotations

from typing import Any, cast

from twisted.protocols.basic import Int32StringReceiver

from lichencleat.decode_errors import UNDECODABLE
from lichencleat.transport.frames import MAX_FRAME_BYTES, Frame, FrameDecoder, decode_frame, encode
from lichencleat.transport.twisted_types import TcpTransport

MAX_UNSENT_BYTES = 8 << 20  # written and not taken by the kernel: a window of snapshot chunks


class FramedProtocol(Int32StringReceiver):
    """Sends and decodes frames; a subclass says what to do with them."""

    MAX_LENGTH = MAX_FRAME_BYTES
    decode_frame: FrameDecoder = staticmethod(decode_frame)

    @property
    def tcp(self) -> TcpTransport:
        """The transport, once the connection is made."""
        return cast(TcpTransport, self.transport)

    def send(self, frame: Frame) -> bool:
        """Send a frame; False where too much is unsent already, and the frame was dropped."""
        if not self.connected or self.waiting() > MAX_UNSENT_BYTES:
            return False
        self.sendString(encode(frame))  # type: ignore[no-untyped-call]
        return True

    def waiting(self) -> int:
        """Return the bytes that wait to be written."""
        transport: Any = self.transport  # a buffer's size is no part of Twisted's interfaces
        if not hasattr(transport, "_tempDataLen"):  # a transport of a test
            return 0
        return int(len(transport.dataBuffer) + transport._tempDataLen)

    def read(self, data: bytes) -> Frame | None:
        """Decode a frame; None where it is not one, which ends the connection."""
        try:
            return self.decode_frame(data)
        except UNDECODABLE:
            self.tcp.abortConnection()
            return None

    def lengthLimitExceeded(self, length: int) -> None:
        """End the connection: the frame is too large to be one."""
        self.tcp.abortConnection()
