"""Connections to the nodes: tries go out by their tags, answers come back by them. Decides nothing.

A try that was never written is told as unsent, which proves that it never ran; one whose connection ended
after it was written is lost, which proves nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from lichencleat.node.deadlines import Deadline, Deadlines
from lichencleat.node.framing import BrokenFramingError
from lichencleat.node.report import Report
from lichencleat.node.resp import ArrayReader, array
from lichencleat.router.terms import Came

OPEN_MOST = 32  # tries open on one connection, by the protocol
LINKS_MOST = 8  # connections to one node: 256 tries, over what one has in hand
CONNECT_WAIT = 1_000_000  # µs for a connection: a far zone takes some tens of ms
SPAN_MOST = 60_000.0  # ms that a node may ask to stay away: a figure beyond it was spoilt
VALUE_MOST = 1e9  # of a free value, likewise
CAME = {b"200": Came.HONOURED, b"503": Came.DEFERRED}


@dataclass(slots=True)
class Told:
    """What an answer says beside its result."""

    came: Came
    result: bytes = b""
    span: int = 0  # µs
    last: bool = False
    value: float | None = None


def read_answer(words: list[bytes]) -> Told:
    """Of its words after the tag. A field that can't be read is as one that is not there."""
    fields = (
        dict(each.split(b"=", 1) for each in words[1].split(b",") if b"=" in each) if len(words) > 1 else {}
    )
    span, value = figure(fields.get(b"w"), SPAN_MOST), figure(fields.get(b"v"), VALUE_MOST)
    return Told(
        CAME.get(words[0], Came.FAILED),
        words[2] if len(words) > 2 else b"",
        int(span * 1000) if span is not None else 0,
        fields.get(b"l") == b"1",
        value,
    )


def figure(text: bytes | None, most: float) -> float | None:
    try:
        value = float(text) if text is not None and len(text) < 32 else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value <= most else None


class Try:
    """One try on its way; `over` is called once, with what became of it."""

    __slots__ = ("words", "over", "link", "tag", "written", "sent_at")

    def __init__(self, words: list[bytes], over: Callable[[Told], None]) -> None:
        """`words`: of the array, but for its first word and the tag."""
        self.words, self.over = words, over
        self.link: Link | None = None
        self.tag = 0
        self.written = False
        self.sent_at = 0  # µs of the monotonic clock


class Link(Protocol):
    """Owns the tries open on one connection; each is given back in `finish`."""

    def __init__(self, node: NodeLinks) -> None:
        self.node = node
        self.reader = ArrayReader()
        self.tries: dict[int, Try] = {}
        self.tag = 0
        self.up = False
        self.heard_at = 0  # µs of the monotonic clock
        self.going = False  # the node sends it away, or it is not trusted: it takes no more
        self.reached_by: Deadline | None = None

    def connectionMade(self) -> None:
        self.up = True
        self.node.deadlines.cancel(self.reached_by)
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        for tag, each in self.tries.items():
            self.write(tag, each)

    def place(self, made: Try) -> None:
        self.tag += 1
        made.link, made.tag = self, self.tag
        self.tries[self.tag] = made
        if self.up:
            self.write(self.tag, made)

    def write(self, tag: int, made: Try) -> None:
        made.written, made.sent_at = True, self.node.deadlines.now()
        self.transport.writeSequence(array(b"REQ", b"%d" % tag, *made.words))
        self.node.report.count("nodes", "sent tries")

    def quit(self, made: Try) -> None:
        """Nobody waits for it any more; what still comes for it counts for nothing."""
        if self.tries.pop(made.tag, None) is not None:
            if made.written and self.transport is not None:
                self.transport.writeSequence(array(b"ABORT", b"%d" % made.tag))
            self.end_if_done()

    def dataReceived(self, data: bytes) -> None:
        self.heard_at = self.node.deadlines.now()
        try:
            for words in self.reader.feed(data):
                self.take(words)
        except BrokenFramingError as broken:
            self.node.report.count("nodes", "broken framing")
            self.node.report.note(f"node {self.node.name}: {broken}; the connection is given up")
            self.transport.abortConnection()
        except Exception:
            self.node.report.log_exception("an answer of a node")

    def take(self, words: list[bytes]) -> None:
        if words[:2] == [b"0", b"goaway"]:
            self.going = True
            self.end_if_done()
            return
        if len(words) < 2 or not words[0].isdigit() or len(words[0]) > 18:
            raise BrokenFramingError("an answer without a tag")
        told = read_answer(words[1:])
        if told.value is not None:
            self.node.says(told.value)
        made = self.tries.pop(int(words[0]), None)
        if made is None:
            self.node.report.count("nodes", "answers to nothing")
        else:
            made.over(told)
        self.end_if_done()

    def end_if_done(self) -> None:
        if self.going and not self.tries and self.transport is not None:
            self.node.forget(self)
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        self.lost()

    def lost(self) -> None:
        self.node.forget(self)
        self.node.deadlines.cancel(self.reached_by)
        self.transport = None
        tries, self.tries = self.tries, {}
        for each in tries.values():
            each.over(Told(Came.LOST if each.written else Came.UNSENT))


class Connecting(ClientFactory):
    noisy = False

    def __init__(self, link: Link) -> None:
        self.link = link

    def buildProtocol(self, address: Any) -> Link:
        return self.link

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.link.node.report.count("nodes", "connections failed")
        self.link.lost()


class NodeLinks:
    """Owns the connections to one node; given back in `close`."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        address: tuple[str, int],
        deadlines: Deadlines,
        report: Report,
        says: Callable[[float], None],
    ) -> None:
        """`says`: told each free value."""
        self.reactor, self.name, self.address = reactor, name, address
        self.deadlines, self.report, self.says = deadlines, report, says
        self.links: list[Link] = []

    def send(self, made: Try) -> bool:
        """False where there is no room: nothing was sent, and `over` is not called."""
        fit = [each for each in self.links if not each.going and len(each.tries) < OPEN_MOST]
        link = next((each for each in fit if each.up), fit[0] if fit else None)
        if link is None:
            if len(self.links) >= LINKS_MOST:
                return False
            link = Link(self)
            self.links.append(link)
            connector = self.reactor.connectTCP(*self.address, Connecting(link), timeout=None)
            link.reached_by = self.deadlines.after(CONNECT_WAIT, connector.stopConnecting)
        link.place(made)
        return True

    def distrust(self, link: Link) -> None:
        """It was silent past the time of a try: no other is sent on it."""
        link.going = True
        link.end_if_done()

    def forget(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)

    def close(self) -> None:
        """What is open is lost."""
        for link in list(self.links):
            if link.transport is not None:
                link.transport.abortConnection()
            else:
                self.deadlines.cancel(link.reached_by)
