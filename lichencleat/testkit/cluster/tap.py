"""The rig's relays with an ear: what subscribers ask is written down as it passes, and answers can be spoilt.

What is heard of a `follow` is what that process acknowledged, at a moment of the machine's one clock.
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

ASKED_MOST = 200_000  # questions kept: an hour of fifty processes
LEAST = 400  # bytes of a piece that is spoilt: one with records in it, not a word that there is no news


def moment() -> int:
    """µs of the machine's monotonic clock: the same in every process."""
    return time.monotonic_ns() // 1000


@dataclass(frozen=True, slots=True)
class Asked:
    at: int
    who: str
    of: str
    what: str
    version: int = 0  # of a follow: in force there


class TappedLink(Link):
    def __init__(self, relay: Relay, inner: CallerSide) -> None:
        super().__init__(relay, inner)
        self.heard = bytearray()
        self.listens = True

    def from_caller(self, data: bytes) -> None:
        if self.listens:
            self.heard += data
            self.listen()
        super().from_caller(data)

    def listen(self) -> None:
        heard = self.heard
        while len(heard) >= 4 and len(heard) >= 4 + (size := int.from_bytes(heard[:4], "big")):
            try:
                frame = decode_frame(bytes(heard[4 : 4 + size]))
            except UNDECODABLE:
                frame = None
            del heard[: 4 + size]
            if isinstance(frame, ClientRequest):
                self.asks(frame)
            elif not isinstance(frame, Greeting) or frame.member_id:
                self.listens = False  # a member of the group: not looked at
                heard.clear()
        if len(heard) > MAX_FRAME_BYTES:
            self.listens = False
            heard.clear()

    def asks(self, frame: ClientRequest) -> None:
        relays: Any = self.relay.relays
        version = 0
        if frame.operation == FOLLOW:
            follow = decode_follow_request(frame.content)
            version = follow.version
            relays.acknowledged.append(Acknowledged(moment(), self.caller, version, follow.digest.hex()))
        relays.asked.append(Asked(moment(), self.caller, self.relay.name, frame.operation, version))

    def from_server(self, data: bytes) -> None:
        relays: Any = self.relay.relays
        if (self.relay.name, self.caller) in relays.spoils and len(data) >= LEAST:
            relays.spoils.discard((self.relay.name, self.caller))
            relays.spoilt += 1
            at = relays.rng.randrange(len(data))
            data = data[:at] + bytes([data[at] ^ relays.rng.randrange(1, 256)]) + data[at + 1 :]
        super().from_server(data)


class TappedRelay(Relay):
    def buildProtocol(self, address: Any) -> CallerSide:
        made = super().buildProtocol(address)
        made.link = TappedLink(self, made)
        return made


class TappedRelays(Relays):
    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.acknowledged: deque[Acknowledged] = deque(maxlen=ASKED_MOST)
        self.asked: deque[Asked] = deque(maxlen=ASKED_MOST)
        self.spoils: set[tuple[str, str]] = set()  # (from, to): a byte of the next answer with records in it
        self.spoilt = 0
        super().__init__()

    def add_relay(self, name: str, to: int) -> int:
        def make() -> int:
            self.by_name[name] = TappedRelay(self, name, to)
            return self.by_name[name].port.getHost().port

        return self.call(make)

    def spoil(self, pairs: set[tuple[str, str]]) -> None:
        self.call(self.spoils.update, pairs)

    def told(self) -> list[Acknowledged]:
        """What was acknowledged since this was asked last."""

        def take() -> list[Acknowledged]:
            found = list(self.acknowledged)
            self.acknowledged.clear()
            return found

        return self.call(take)
