"""One member: whom it probes, whom it suspects, whom it calls gone, what it answers; no I/O.

Inputs only update what is known: `hears`, `wakes`, `joins`, `leaves`. After each of them the host pulls
`next_decision`: datagrams to send and changes to tell. A member that does not hear in time what it should
may itself be slow: it then takes more time before it suspects others (Lifeguard's local health).
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass

from lichencleat.membership.rumors import DATAGRAM_MOST, Rumors, size_of, times
from lichencleat.membership.table import Table
from lichencleat.membership.terms import Choice, Datagram, Kind, State, Word

HEALTH_MOST = 8  # times a period may be stretched by one's own trouble
HEAD = 120  # bytes of a datagram besides its words, at the most
SEEDS_SHARE = 0.3  # of the tries to compare, that go to those it was told of at its start
HELPING_MOST = 256  # probes made for others, open at once
EVENTS_MOST = 4_096  # changes not fetched yet: the oldest go


@dataclass(slots=True)
class Send:
    host: str
    port: int
    datagram: Datagram


@dataclass(slots=True)
class Change:
    """A member's state is another one here."""

    word: Word


@dataclass(slots=True)
class Probe:
    target: Word
    number: int
    begun: int
    asked: int = 0  # helpers that were asked
    refused: int = 0  # of these, that answered that it does not answer


@dataclass(slots=True)
class Suspicion:
    since: int
    by: set[str]  # who says so, independently


class Gossip:
    def __init__(
        self,
        group: str,
        own: Word,
        seeds: list[tuple[str, int]],
        choice: Choice,
        rng: random.Random,
        now: int,
    ) -> None:
        """`own`: this member's first word; its incarnation is µs of Unix time at its start, so that it
        outweighs an earlier life.
        """
        self.group, self.own, self.choice, self.rng = group, own, choice, rng
        self.seeds = [each for each in seeds if each != (own.host, own.port)]
        self.table, self.rumors = Table(), Rumors()
        self.table.hear(now, own)
        self.rumors.add(own)
        self.health = 0  # 0: well
        self.probe: Probe | None = None
        self.number = rng.getrandbits(30)
        self.round: list[str] = []  # who is probed next, in a drawn order
        self.suspicions: dict[str, Suspicion] = {}
        self.helping: dict[
            int, tuple[Datagram, Word, int]
        ] = {}  # number of one's own ping -> for whom, at whom, µs
        self.out: deque[Send | Change] = deque(maxlen=EVENTS_MOST)
        self.probe_at = now + rng.randrange(choice.period)
        self.meet_at = now
        self.left = False
        self.joins(now)

    # -- what happened -------------------------------------------------------------------------------

    def joins(self, now: int) -> None:
        """Asks those that it was told of who is there; again until somebody answers."""
        self.meet_at = now + self.choice.meet // 2 + self.rng.randrange(self.choice.meet // 2)
        if self.seeds:
            host, port = self.rng.choice(self.seeds)
            self.join(host, port, self.own)

    def leaves(self, now: int) -> None:
        """Tells some members that it goes; the others hear it from them."""
        self.left = True
        self.own = Word(self.own.name, State.LEFT, self.own.incarnation, *self.place())
        self.learn(now, self.own, "")
        others = list(self.table.here())
        for each in self.rng.sample(others, min(len(others), self.choice.helpers)):
            self.send(each.host, each.port, Kind.PING, 0, words=(self.own,))

    def place(self) -> tuple[str, int, str, str]:
        return self.own.host, self.own.port, self.own.zone, self.own.role

    def hears(self, now: int, host: str, port: int, m: Datagram) -> None:
        if m.group != self.group or m.sender == self.own.name:
            return
        for word in m.words:
            self.learn(now, word, m.sender)
        if self.left:
            return
        if m.kind == Kind.PING:
            self.send(host, port, Kind.ACK, m.number, about=m.sender)
        elif m.kind == Kind.ACK:
            self.acked(now, m)
        elif m.kind == Kind.ASK:
            self.help(now, m, host, port)
        elif m.kind == Kind.NO_ACK:
            if self.probe is not None and self.probe.number == m.number:
                self.probe.refused += 1
        elif m.kind == Kind.JOIN and m.digest != self.table.digest():
            self.tell_all(host, port)

    def learn(self, now: int, word: Word, sender: str) -> None:
        if word.name == self.own.name and not self.left:
            if word.weight() > self.own.weight():
                self.refute(now, word)
            return
        if word.state == State.SUSPECT and word.name in self.suspicions and sender:
            known = self.table.words[word.name]
            if word.incarnation == known.incarnation:
                self.suspicions[word.name].by.add(sender)
        if not self.table.hear(now, word):
            return
        self.rumors.add(word)
        self.out.append(Change(word))
        if word.state == State.SUSPECT:
            self.suspicions[word.name] = Suspicion(now, {sender} if sender else set())
        else:
            self.suspicions.pop(word.name, None)

    def refute(self, now: int, word: Word) -> None:
        """Somebody takes it for gone: a new incarnation outweighs that. A sign, too, that it answers late."""
        if word.state != State.HERE:
            self.worse()
        self.own = Word(self.own.name, State.HERE, word.incarnation + 1, *self.place())
        self.table.hear(now, self.own)
        self.rumors.add(self.own)

    def acked(self, now: int, m: Datagram) -> None:
        helped = self.helping.pop(m.number, None)
        if helped is not None:
            asked, target, _ = helped
            prober = self.table.words.get(asked.sender)
            if prober is not None:
                self.send(prober.host, prober.port, Kind.ACK, asked.number, target=target.name)
        elif self.probe is not None and self.probe.number == m.number:
            self.probe = None
            self.better()

    def help(self, now: int, m: Datagram, host: str, port: int) -> None:
        target = self.table.words.get(m.target)
        if target is None or len(self.helping) >= HELPING_MOST:
            return
        self.number += 1
        self.helping[self.number] = m, target, now
        self.send(target.host, target.port, Kind.PING, self.number, about=target.name)

    def wakes(self, now: int) -> None:
        if self.left:
            return
        for number, (asked, target, at) in list(self.helping.items()):
            if now - at >= self.choice.answer:
                del self.helping[number]
                prober = self.table.words.get(asked.sender)
                if prober is not None:
                    self.send(prober.host, prober.port, Kind.NO_ACK, asked.number, target=target.name)
        self.judge(now)
        probe = self.probe
        if probe is not None and not probe.asked and now - probe.begun >= self.stretched(self.choice.answer):
            self.ask_others(probe)
        if now >= self.probe_at:
            if probe is not None:
                self.missed(now, probe)
            self.begin_probe(now)
        if now >= self.meet_at:
            self.meet(now)

    def deadline(self) -> int:
        """µs: when `wakes` is to be called at the latest."""
        times_ = [self.probe_at, self.meet_at]
        if self.probe is not None and not self.probe.asked:
            times_.append(self.probe.begun + self.stretched(self.choice.answer))
        times_ += [at + self.choice.answer for _, _, at in self.helping.values()]
        times_ += [each.since + self.patience(each) for each in self.suspicions.values()]
        return min(times_)

    # -- decisions -----------------------------------------------------------------------------------

    def next_decision(self) -> Send | Change | None:
        return self.out.popleft() if self.out else None

    def stretched(self, span: int) -> int:
        return span * (self.health + 1)

    def better(self) -> None:
        self.health = max(0, self.health - 1)

    def worse(self) -> None:
        self.health = min(HEALTH_MOST, self.health + 1)

    def begin_probe(self, now: int) -> None:
        """The next one in a drawn order of all: each is probed once before any is again."""
        self.probe_at = now + self.stretched(self.choice.period)
        while self.round or self.fill_round():
            target = self.table.words.get(self.round.pop())
            if target is not None and target.state <= State.SUSPECT:
                self.number += 1
                self.probe = Probe(target, self.number, now)
                self.send(target.host, target.port, Kind.PING, self.number, about=target.name)
                return

    def fill_round(self) -> bool:
        self.round = [each.name for each in self.table.here() if each.name != self.own.name]
        self.rng.shuffle(self.round)
        return bool(self.round)

    def ask_others(self, probe: Probe) -> None:
        others = [each for each in self.table.here() if each.name not in (self.own.name, probe.target.name)]
        for each in self.rng.sample(others, min(len(others), self.choice.helpers)):
            probe.asked += 1
            self.send(each.host, each.port, Kind.ASK, probe.number, target=probe.target.name)
        probe.asked = max(1, probe.asked)

    def missed(self, now: int, probe: Probe) -> None:
        """Nobody got an answer from it. Helpers that are silent, too, are a sign of one's own trouble."""
        self.probe = None
        if probe.refused < min(probe.asked, self.choice.helpers) - 1:
            self.worse()
        known = self.table.words.get(probe.target.name)
        if known is not None and known.state == State.HERE and known.incarnation == probe.target.incarnation:
            self.learn(now, in_state(known, State.SUSPECT), self.own.name)

    def patience(self, suspicion: Suspicion) -> int:
        """How long a suspect may still answer: less, the more say so by themselves."""
        count = self.table.count()
        least = round(self.choice.suspicion * math.log10(max(10, count)) * self.choice.period)
        most = least * self.choice.suspicion_most
        others = max(0, len(suspicion.by) - 1)
        enough = min(3, max(1, count - 2))
        share = math.log(others + 1) / math.log(enough + 1)
        return max(least, round(most - (most - least) * share))

    def judge(self, now: int) -> None:
        for name, each in list(self.suspicions.items()):
            if now - each.since >= self.patience(each):
                known = self.table.words[name]
                self.learn(now, in_state(known, State.GONE), "")
        for name in self.table.forget(now, self.choice.remember):
            self.rumors.waiting.pop(name, None)

    def meet(self, now: int) -> None:
        """Tries one that is gone, so that halves that were apart meet again; or compares what is known."""
        self.meet_at = now + self.choice.meet // 2 + self.rng.randrange(self.choice.meet)
        gone = [each for each in self.table.words.values() if each.state == State.GONE]
        if gone:
            lost = self.rng.choice(gone)
            self.join(lost.host, lost.port, self.own, lost)
        elif self.table.count() == 1 or (self.seeds and self.rng.random() < SEEDS_SHARE):
            self.joins(
                now
            )  # two islands that each found one of them at their start find each other by the rest
        else:  # what was lost on the way to all is found by comparing with one
            near = self.rng.choice([each for each in self.table.here() if each.name != self.own.name])
            self.join(near.host, near.port, self.own)

    def join(self, host: str, port: int, *words: Word) -> None:
        """Asks for all that is known there, unless it is the same as here."""
        digest = self.table.digest()
        self.out.append(
            Send(host, port, Datagram(self.group, Kind.JOIN, 0, self.own.name, "", digest, words))
        )

    def tell_all(self, host: str, port: int) -> None:
        """All that is known, in as many datagrams as it takes."""
        words: list[Word] = []
        room = DATAGRAM_MOST - HEAD
        for word in list(self.table.words.values()):
            if size_of(word) > room:
                self.send(host, port, Kind.LIST, 0, words=tuple(words))
                words, room = [], DATAGRAM_MOST - HEAD
            words.append(word)
            room -= size_of(word)
        self.send(host, port, Kind.LIST, 0, words=tuple(words))

    def send(
        self,
        host: str,
        port: int,
        kind: Kind,
        number: int,
        target: str = "",
        words: tuple[Word, ...] | None = None,
        about: str = "",
    ) -> None:
        """`about`: whom it goes to: a suspect hears first what is said of it."""
        if words is None:
            limit = times(self.table.count(), self.choice.repeats)
            words = self.rumors.take(DATAGRAM_MOST - HEAD, limit, about)
            known = self.table.words.get(about)
            if known is not None and known.state != State.HERE and known not in words:
                words = (known, *words[:-1]) if words else (known,)
        self.out.append(Send(host, port, Datagram(self.group, kind, number, self.own.name, target, 0, words)))


def in_state(word: Word, state: State) -> Word:
    return Word(word.name, state, word.incarnation, word.host, word.port, word.zone, word.role)
