"""Network relays of the cluster harness that record the requests of subscribers and can corrupt answers.

A `follow` request carries the version that its sender acknowledges. The record has the time at which the
request passed, on the monotonic clock that all processes of the machine share.
"""

from __future__ import annotations

import random
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from lichencleat.config_distribution.terms import FOLLOW, decode_follow_request
from lichencleat.decode_errors import UNDECODABLE
from lichencleat.testkit.checkers.distribution import Acknowledged
from lichencleat.testkit.cluster.relay import CallerSide, Link, Relay, Relays
from lichencleat.transport.frames import MAX_FRAME_BYTES, ClientRequest, Greeting, decode_frame

MAX_RECORDED_REQUESTS = 200_000  # recorded requests that are kept: enough for an hour of fifty processes
# smaller chunks of an answer are not corrupted, as they hold no records
MIN_CORRUPTED_CHUNK_BYTES = 400


def monotonic_us() -> int:
    """Return the µs of the machine's monotonic clock, which is the same in every process."""
    return time.monotonic_ns() // 1000


@dataclass(frozen=True, slots=True)
class RecordedRequest:
    """A request of a subscriber, recorded as it passed a relay."""

    at: int  # µs of the machine's monotonic clock
    caller: str  # name of the calling process
    server: str  # name of the called process
    operation: str  # one of the operations in `config_distribution.terms`
    version: int = 0  # version in force at the caller; 0 except for a `follow` request


class TappedLink(Link):
    """A connection whose client requests are decoded and recorded."""

    def __init__(self, relay: Relay, caller_side: CallerSide) -> None:
        super().__init__(relay, caller_side)
        self.buffer = bytearray()
        self.is_decoding = True

    def from_caller(self, data: bytes) -> None:
        if self.is_decoding:
            self.buffer += data
            self.decode_frames()
        super().from_caller(data)

    def decode_frames(self) -> None:
        """Decode the whole frames of the buffer, and record those that are client requests."""
        buffer = self.buffer
        while len(buffer) >= 4 and len(buffer) >= 4 + (size := int.from_bytes(buffer[:4], "big")):
            try:
                frame = decode_frame(bytes(buffer[4 : 4 + size]))
            except UNDECODABLE:
                frame = None
            del buffer[: 4 + size]
            if isinstance(frame, ClientRequest):
                self.record_request(frame)
            elif not isinstance(frame, Greeting) or frame.member_id:
                self.is_decoding = False  # traffic among members of the group is not recorded
                buffer.clear()
        if len(buffer) > MAX_FRAME_BYTES:
            self.is_decoding = False
            buffer.clear()

    def record_request(self, frame: ClientRequest) -> None:
        """Record a client request, and for a `follow` request the acknowledged version."""
        relays: Any = self.relay.relays
        version = 0
        if frame.operation == FOLLOW:
            follow = decode_follow_request(frame.content)
            version = follow.version
            relays.acknowledged.append(
                Acknowledged(monotonic_us(), self.caller, version, follow.digest.hex())
            )
        relays.requests.append(
            RecordedRequest(monotonic_us(), self.caller, self.relay.name, frame.operation, version)
        )

    def from_server(self, data: bytes) -> None:
        relays: Any = self.relay.relays
        if (self.relay.name, self.caller) in relays.corruption_targets and len(
            data
        ) >= MIN_CORRUPTED_CHUNK_BYTES:
            relays.corruption_targets.discard((self.relay.name, self.caller))
            relays.corrupted_bytes += 1
            at = relays.rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ relays.rng.randrange(1, 256)]) + data[at + 1 :]
        super().from_server(data)


class TappedRelay(Relay):
    """A relay whose connections are recorded."""

    def buildProtocol(self, address: Any) -> CallerSide:
        made = super().buildProtocol(address)
        made.link = TappedLink(self, made)
        return made


class TappedRelays(Relays):
    """All relays of a harness, the requests that they recorded, and the answers that are to be corrupted."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.acknowledged: deque[Acknowledged] = deque(maxlen=MAX_RECORDED_REQUESTS)
        self.requests: deque[RecordedRequest] = deque(maxlen=MAX_RECORDED_REQUESTS)
        # (answering process, caller): one byte of the next large answer is changed
        self.corruption_targets: set[tuple[str, str]] = set()
        self.corrupted_bytes = 0  # number of bytes changed so far
        super().__init__()

    def add_relay(self, name: str, to: int) -> int:
        """Add a relay before the port `to` of the named process, and return the port of the relay."""

        def make() -> int:
            self.by_name[name] = TappedRelay(self, name, to)
            return self.by_name[name].port.getHost().port

        return self.call(make)

    def corrupt_next_answer(self, pairs: set[tuple[str, str]]) -> None:
        """Corrupt one byte of the next large answer for each pair of answering and calling process."""
        self.call(self.corruption_targets.update, pairs)

    def take_acknowledged(self) -> list[Acknowledged]:
        """Return the acknowledgements recorded since the last call."""

        def take() -> list[Acknowledged]:
            found = list(self.acknowledged)
            self.acknowledged.clear()
            return found

        return self.call(take)
