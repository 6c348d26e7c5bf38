"""`lichencleat members run`: one instance's membership from its file, its changes as lines of the log."""

from __future__ import annotations

import os
import random
import signal
from typing import Annotated, Any

from msgspec import Meta, Struct
from twisted.internet.error import CannotListenError

from lichencleat.config.file import Name, WrongFileError, load, read_as
from lichencleat.log.lines import make_log
from lichencleat.membership.gossip import Gossip
from lichencleat.membership.port import Port
from lichencleat.membership.terms import Choice, State, Word
from lichencleat.reactor import make_reactor, unix_time

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
FAREWELL = 0.2  # s for the word that it leaves


class MembersChoice(Struct, forbid_unknown_fields=True, frozen=True):
    group: Name
    name: Name
    listen: Address
    seeds: Annotated[list[Address], Meta(max_length=64)] = []
    zone: str = ""
    role: str = "node"
    period_ms: Annotated[int, Meta(ge=20, le=60_000)] = 1_000
    answer_ms: Annotated[int, Meta(ge=5, le=60_000)] = 300


class MembersFile(Struct, forbid_unknown_fields=True, frozen=True):
    members: MembersChoice


def read_members(path: str) -> MembersChoice:
    """Raises WrongFileError."""
    chosen, place = read_as(path, load(path), MembersFile)
    members: MembersChoice = chosen.members
    if members.answer_ms * 2 > members.period_ms:
        line = place.line("$.members.answer_ms") or place.line("$.members.period_ms")
        raise WrongFileError(
            f"{path}, line {line}: members.answer_ms: {members.answer_ms} is over half a period "
            f"({members.period_ms}); others need the other half to try, so make it smaller"
        )
    return members


def place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def run(chosen: MembersChoice) -> int:
    """Until SIGTERM; the exit code."""
    twisted: Any = make_reactor()
    unix = unix_time()
    log = make_log(
        unix_time,
        process=chosen.name,
        role="members",
        group=chosen.group,
        pid=os.getpid(),
    )
    host, port = place(chosen.listen)
    own = Word(chosen.name, State.HERE, unix, host, port, chosen.zone, chosen.role)
    choice = Choice(
        period=chosen.period_ms * 1000, answer=chosen.answer_ms * 1000, meet=5 * chosen.period_ms * 1000
    )
    rng = random.Random(os.urandom(16))

    def changed(word: Word) -> None:
        here = made.gossip.table.count()
        log.info(
            State(word.state).name.lower(),
            member=word.name,
            zone=word.zone,
            incarnation=word.incarnation,
            here=here,
        )

    made = Port(
        twisted,
        lambda now: Gossip(chosen.group, own, [place(each) for each in chosen.seeds], choice, rng, now),
        changed,
    )
    try:
        twisted.listenUDP(port, made, interface=host)
    except CannotListenError as wrong:
        log.warning("can't start", reason=str(wrong))
        return 2

    def leave() -> None:
        made.leave()
        twisted.callLater(FAREWELL, twisted.stop)

    signal.signal(signal.SIGTERM, lambda *_: twisted.callFromThread(leave))
    log.info("started", listen=chosen.listen)
    twisted.run(installSignalHandlers=False)
    log.info("stopped", **{name.replace(" ", "_"): count for name, count in made.counts.items()})
    return 0
