"""What clients ask of a member, as plain frames, and a way to ask it without sockets.

The generator and the tests share it. It imports nothing of the product: a frame is the list that it is on
the wire, its tag first.
"""

from __future__ import annotations

from hashlib import sha256
from typing import Any, NamedTuple

import msgspec
from twisted.internet.testing import MemoryReactorClock, StringTransport

encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode

GREETING, GREETED, MESSAGE, REQUEST, REPLY = 1, 2, 3, 4, 5  # tags
MARK = b"mark of8"  # of the group
SESSION = 2  # the first session's number: the index of its entry
TURN_S, SETTLE_S, LEADS_AFTER_S = 0.02, 1.0, 5.0
BEFORE_ELECTION_S = 0.1  # an election begins 0.4 s after a leader's last word at the earliest
CONTENT = 3  # position in a reply's frame
LONG = 1_000  # bytes
ROUND = 7  # position in a member's message: counts rounds, whose number hangs on timers
ANSWER_AGE = 3  # position of the age in the answers to "follow" and "digests": hangs on timers


class Step(NamedTuple):
    """A frame that is sent."""

    frame: list[Any]
    opens: bool = False  # on a new connection
    accepts: bool = False  # on the connection that the member opens to another
    masked: int | None = None  # position in the reply's content that is not compared
    settle_s: float = SETTLE_S  # until the answers are read
    keys_only: bool = False  # of the reply's content: its values hang on timers


def greeting(name: str = "fleet", group: bytes = b"", format_: int = 1) -> Step:
    """A client says who it is."""
    return Step([GREETING, format_, group, name, 0, 0, [0, 0], "a client"], opens=True)


def member_greeting(seat: int, to: int, start: int, mark: int) -> Step:
    """A member says who it is."""
    life = [start, mark]
    return Step([GREETING, 1, MARK, "fleet", seat, to, life, "v2", ["facts", "owners"]], opens=True)


def request(number: int, what: str, content: Any = None, masked: int | None = None) -> Step:
    """A client's request."""
    return Step([REQUEST, number, what, content], masked=masked)


def proposal(number: int, part: str, command: Any, session: int = 0, turn: int = 0) -> Step:
    """A client's request to decide on something."""
    return request(number, "propose", [session, turn, encode([part, command])])


def message(*values: Any) -> Step:
    """What the member 12 says to 11: kind, term and so on, by position."""
    return Step([MESSAGE, MARK, list(values)])


def leader_message(*values: Any) -> Step:
    """The same where the next one comes before the member stands for election or misses a majority."""
    return Step([MESSAGE, MARK, list(values)], settle_s=BEFORE_ELECTION_S)


CONTROL = (
    greeting("another group"),
    greeting(format_=2),
    greeting(group=b"other mk"),
    greeting(group=MARK),
    request(1, "status"),
    request(2, "open"),
    proposal(3, "facts", ["set", "limit", b"40", None], SESSION, 1),
    proposal(4, "facts", ["set", "limit", b"40", None], SESSION, 1),
    proposal(5, "facts", ["set", "limit", b"41", None], SESSION, 5),
    proposal(6, "facts", ["set", "limit", b"41", None], SESSION + 1_000, 1),
    proposal(7, "owners", ["define", "report", "north"]),
    proposal(8, "owners", ["renew", "a", "north", 7, True, {}]),
    proposal(9, "shares", ["define", "db", 100, 2, 10, 1_000_000]),
    proposal(10, "revive", ["report", "n1", "north", 1, True, 0, 5, True, True, 0.5]),
    proposal(11, "zones", ["define", "north", "r1", 100.0]),
    proposal(12, "no such part", ["set"]),
    request(13, "read", ["facts", "limit"]),
    request(14, "read", ["owners", None]),
    request(15, "read", ["shares", "db"]),
    request(16, "read", ["revive", None]),
    request(17, "read", ["zones", None]),
    request(18, "read", ["no such part", None]),
    request(19, "read", "no pair"),
    request(20, "propose", 1),
    request(21, "remove", 11),
    request(22, "remove", 99),
    request(23, "transfer", 99),
    request(24, "add", [11, "v1", "10.0.0.1", 1, "north", False]),
    request(25, "follow", [0, b"", [], 0]),
    request(26, "no such request"),
    member_greeting(12, 99, 3, 5),
    member_greeting(12, 11, 3, 5),
    member_greeting(12, 11, 2, 4),
    greeting(),
    request(27, "add", [12, "v2", "10.0.0.2", 2, "south", False]),
    request(28, "add", [12, "v2", "10.0.0.2", 2, "south", True]),
    request(29, "transfer", 12),
    request(30, "remove", 12),
    request(31, "status"),
)
DISTRIBUTION = (
    greeting(),
    request(1, "follow", [0, b"", [], 0], masked=ANSWER_AGE),
    proposal(2, "distribution", ["publish", [["tenant", "a", b"1"], ["route", "/b", b"2"]], 0]),
    proposal(3, "distribution", ["publish", [["tenant", "a", None]], 0]),
    request(4, "digests", None, masked=ANSWER_AGE),
    request(5, "follow", [0, b"", [["north", 1, 0, 0, 0, ""]], 0], masked=ANSWER_AGE),
    request(6, "follow", [3, b"another digest!!", [], 0], masked=ANSWER_AGE),
    request(7, "follow", [99, b"another digest!!", [], 0], masked=ANSWER_AGE),
    request(8, "pages", [3, [0, 1, 4_095]]),
    request(9, "pages", [99, [0]]),
    request(10, "find", ["tenant", "a", 0]),
    request(11, "find", ["tenant", "none", 0]),
    request(12, "read", ["distribution", ["find", "route", "/b"]]),
    request(13, "read", ["distribution", ["diff", 0, 3]]),
    request(14, "read", ["distribution", ["stands"]]),
    proposal(15, "owners", ["define", "report", "north"]),
    request(16, "status"),
    Step([REQUEST, 17, "in force", None], keys_only=True),
)
SNAPSHOT = encode([[], {"facts": {"limit": [b"50", 7]}}, ["facts"]])  # sessions, parts, names of those used
SNAPSHOT_GROUP = [[[11, "v1", "10.0.0.1", 1, True, "north"], [12, "v2", "10.0.0.2", 2, True, "south"]]]
MEMBERS = (
    greeting(),
    proposal(1, "facts", ["set", "limit", b"40", None]),
    request(2, "add", [12, "v2", "10.0.0.2", 2, "south", False]),
    Step([GREETED, 0, MARK, 12, "v2", [3, 5], ["facts", "owners"]], accepts=True),
    member_greeting(12, 11, 3, 5),
    message(6, 1, 12, 11, 0, 0, 0, 0, False),  # appended: the logs agree up to nothing
    message(6, 1, 12, 11, 0, 0, 0, 0, True),
    message(6, 1, 12, 11, 4, 0, 0, 0, True),  # up to the last entry
    message(1, 2, 12, 11, 9, 9, 0, 0, False),  # pre-vote of a learner
    message(3, 2, 12, 11, 1, 1, 0, 0, False),  # vote in a higher term, with an older log
    message(3, 7, 12, 11, 9, 9, 0, 0, False, True),  # the same forced, with a newer one
    leader_message(
        5, 20, 12, 11, 5, 8, 5, 3, False, False, [[20, 0, b"", 0, 0]]
    ),  # append by a leader of term 20
    leader_message(5, 20, 12, 11, 8, 20, 5, 4),  # behind entries that are not there
    leader_message(
        7, 20, 12, 11, 50, 20, 50, 5, False, False, [], 0, len(SNAPSHOT), SNAPSHOT[:3], SNAPSHOT_GROUP
    ),
    leader_message(7, 20, 12, 11, 50, 20, 50, 6, False, False, [], 3, len(SNAPSHOT), SNAPSHOT[3:]),
    leader_message(1, 21, 12, 11, 60, 20, 0, 0, False),  # pre-vote while the leader is there
    Step(
        [GREETED, 0, MARK, 12, "v2", [3, 5], ["facts"]], accepts=True, settle_s=BEFORE_ELECTION_S
    ),  # as a voter it is called anew
    leader_message(9, 20, 12, 11),  # leadership is handed over
    leader_message(4, 21, 12, 11, 0, 0, 0, 0, True),  # the vote for it
    leader_message(6, 21, 12, 11, 51, 0, 0, 0, True),  # appended: its first entry is committed
)
CONVERSATIONS = {"control": CONTROL, "distribution": DISTRIBUTION, "members": MEMBERS}


# -- gossip ----------------------------------------------------------------------------------------------

PING, ACK, ASK, NO_ACK, JOIN, LIST = 1, 2, 3, 4, 5, 6  # kinds of datagrams
HERE, SUSPECT, GONE, LEFT = 0, 1, 2, 3  # states of members
NUMBER = 2  # position in a datagram: of the probe, drawn by its prober
PERIOD_US = 1_000_000
OWN_WORD = ["n1", HERE, 5, "10.0.0.1", 7_001, "north", "node"]
SEEDS = [("10.0.0.2", 7_002)]


def word(number: int, state: int, incarnation: int) -> list[Any]:
    """What is said of the member n2, n3, ..."""
    return [f"n{number}", state, incarnation, f"10.0.0.{number}", 7_000 + number, "south", "relay"]


def datagram(kind: int, number: int, target: str, words: list[Any], digest: int = 0) -> list[Any]:
    """What n2 says."""
    return ["fleet", kind, number, "n2", target, digest, words]


GOSSIP: tuple[list[Any], ...] = (
    ["another group", PING, 1, "n2", "", 0, [word(2, HERE, 3)]],
    datagram(PING, 77, "", [word(2, HERE, 3)]),
    datagram(LIST, 0, "", [word(3, HERE, 4), word(4, SUSPECT, 2), word(5, GONE, 9), word(6, LEFT, 1)]),
    datagram(ASK, 78, "n3", []),
    datagram(ASK, 79, "unknown", []),
    datagram(JOIN, 0, "", [], 12_345),
    datagram(PING, 80, "", [["n1", SUSPECT, 5, "10.0.0.1", 7_001, "north", "node"]]),
    datagram(PING, 81, "", [["n1", GONE, 6, "10.0.0.1", 7_001, "north", "node"]]),
    datagram(PING, 82, "", [word(3, GONE, 4)]),
    datagram(NO_ACK, 83, "n3", []),
    datagram(ACK, 84, "", [word(4, HERE, 3)]),
)


def shown_sends(sends: list[tuple[str, int, Any]]) -> list[Any]:
    """Datagrams and where they go; the numbers of own probes are drawn."""
    shown = []
    for host, port, message_ in sends:
        values = decode(encode(message_))
        if values[1] == PING:
            values[NUMBER] = None
        shown.append([host, port, values])
    return shown


# -- connections -----------------------------------------------------------------------------------------


class Transport(StringTransport):
    """A connection, with the calls that StringTransport lacks."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to be done."""

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        """Nothing to be done."""


def frames_of(data: bytes) -> list[Any]:
    """Decoded frames, without what is drawn at each start."""
    found = []
    while data:
        size = int.from_bytes(data[:4], "big")
        frame = decode(data[4 : 4 + size])
        if frame[0] == GREETED:
            frame[5][1] = None  # a life's mark
        elif frame[0] == GREETING:
            frame[6][1] = None
        elif frame[0] == MESSAGE:
            frame[2][ROUND] = None
        if frame not in found:  # heartbeats
            found.append(frame)
        data = data[4 + size :]
    # how replies and messages alternate, and messages among themselves, hangs on timers
    return sorted(
        found, key=lambda frame: (frame[0] == MESSAGE, encode(frame) if frame[0] == MESSAGE else b"")
    )


def run(reactor: MemoryReactorClock, seconds: float) -> None:
    """Time goes by."""
    for _ in range(round(seconds / TURN_S)):
        reactor.advance(TURN_S)


def compared(step: Step, content: Any) -> Any:
    """What of a reply's content is the same at each run; long bytes by their digest."""
    if step.keys_only:
        return sorted(content)
    if not isinstance(content, list):
        return content
    shown = [
        sha256(each).digest() if isinstance(each, bytes) and len(each) > LONG else each for each in content
    ]
    if step.masked is not None:
        shown[step.masked] = None
    return shown


def accepted(reactor: MemoryReactorClock) -> Any:
    """The member's end of the connection that it opened last."""
    return reactor.tcpClients[-1][2].buildProtocol(None)


def converse(reactor: MemoryReactorClock, steps: tuple[Step, ...]) -> list[list[Any]]:
    """The member's frames after each step, on all connections."""
    run(reactor, LEADS_AFTER_S)
    protocol: Any = None
    transports: list[Transport] = []
    answers = []
    for step in steps:
        if step.opens or step.accepts:
            protocol = accepted(reactor) if step.accepts else reactor.tcpServers[0][1].buildProtocol(None)
            transports.append(Transport())
            protocol.makeConnection(transports[-1])
        data = encode(step.frame)
        protocol.dataReceived(len(data).to_bytes(4, "big") + data)
        run(reactor, step.settle_s)
        frames = [frame for each in transports for frame in frames_of(each.value())]
        for frame in frames:
            if frame[0] == REPLY:
                frame[CONTENT] = compared(step, frame[CONTENT])
        answers.append([*frames, *("closed" for each in transports if each.disconnecting)])
        for each in transports:
            each.clear()
    return answers
