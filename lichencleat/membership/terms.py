"""What is known of members, and what their datagrams say; no I/O."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class State(IntEnum):
    """In the order in which one word on a life outweighs another of the same incarnation. The numbers are the
    wire's.
    """

    HERE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # by its own word


class Word(msgspec.Struct, frozen=True, array_like=True):
    """What is said of one member. The greater (incarnation, state) holds."""

    name: str
    state: int
    incarnation: int
    host: str
    port: int
    zone: str = ""
    role: str = ""

    def weight(self) -> tuple[int, int]:
        return self.incarnation, self.state


class Kind(IntEnum):
    PING = 1
    ACK = 2
    ASK = 3  # ping that one for me
    NO_ACK = 4  # I asked it, and it did not answer in time
    JOIN = 5  # tell me who is there
    LIST = 6  # a part of who is there


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    group: str
    kind: int
    number: int  # of the probe, by its prober
    sender: str
    target: str = ""  # of an ASK, and of the answers to it
    digest: int = 0  # of a JOIN: of all that its sender knows; who knows the same has nothing to tell
    words: tuple[Word, ...] = ()


class Choice(msgspec.Struct, frozen=True):
    """All in µs. The same at each member."""

    period: int = 1_000_000  # from one probe to the next
    answer: int = 300_000  # for a direct answer, then others are asked to try
    helpers: int = 3  # that are asked
    suspicion: int = 4  # periods, times the logarithm of the group: the least that a suspect has to answer
    suspicion_most: int = 6  # times that, where nobody else suspects it
    repeats: int = 3  # times the logarithm of the group: how often a word is passed on
    meet: int = 5_000_000  # between tries to reach somebody who is gone: halves that were apart meet by this
    remember: int = 600_000_000  # who is gone or left is forgotten then
