"""`lichencleat consensus`: a group of voters made, run, looked at and changed."""

from __future__ import annotations

import json
import os
import random
from collections.abc import Callable
from typing import Any

import click
from twisted.internet.defer import inlineCallbacks
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.task import deferLater

from lichencleat.cli import output
from lichencleat.config.addresses import parse_address
from lichencleat.config.errors import InvalidConfigError
from lichencleat.coordinator.daemon import run_coordinator
from lichencleat.coordinator.settings import QuorumSettings, read_quorum_settings
from lichencleat.coordinator.storage import BootstrapError, bootstrap_group
from lichencleat.store.errors import StoreError
from lichencleat.transport.errors import RequestFailedError
from lichencleat.transport.group_client import GroupClient
from lichencleat.transport.outcomes import RejectReason

HEAD = ["name", "address", "zone", "votes", "role", "term", "applied", "last", "start", "seat"]
PATIENCE = 10.0  # s for a command's question
LOOK = 0.1  # s between looks whether a new member has caught up

FILE = click.argument("file", type=click.Path(dir_okay=False))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group("consensus", no_args_is_help=True)
def group() -> None:
    """A few voters that agree on small facts."""


def chosen(path: str, member: bool = False) -> QuorumSettings:
    try:
        return read_quorum_settings(path, member)
    except InvalidConfigError as wrong:
        raise output.WrongInput(str(wrong)) from wrong


@group.command()
@FILE
def found(file: str) -> None:
    """Make a new group, with the member of FILE as its only voter."""
    try:
        identity = bootstrap_group(chosen(file, member=True), random.Random(os.urandom(16)))
    except (BootstrapError, StoreError) as wrong:
        raise output.WrongInput(f"quorum found: {wrong}") from wrong
    output.pairs(
        {"group": identity.cluster_id.hex(), "member": identity.member_name, "seat": identity.member_id},
        False,
    )


@group.command()
@FILE
def run(file: str) -> None:
    """Run the member of FILE until SIGTERM."""
    raise click.exceptions.Exit(run_coordinator(chosen(file, member=True)))


def on_reactor(main: Callable[[Any], Any]) -> None:
    """Runs it to its end on a reactor of its own: a command may hold several conversations."""
    reactor = EPollReactor()

    def begin() -> None:
        main(reactor).addBoth(lambda result: reactor.stop() or result).addErrback(failed.append)

    failed: list[Any] = []
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    if failed:
        failed[0].raiseException()


def talk(what: Callable[[Any, GroupClient], Any], quorum: QuorumSettings, *addresses: str) -> Any:
    """Runs a conversation with the group on a reactor of its own; a group that fails is one line."""
    told: list[Any] = []

    @inlineCallbacks
    def main(reactor: Any) -> Any:
        places = [parse_address(each) for each in addresses or quorum.members]
        client = GroupClient(reactor, quorum.group, places, random.Random(os.urandom(16)))
        try:
            told.append((yield what(reactor, client)))
        except RequestFailedError as wrong:
            told.append(wrong)
        finally:
            client.close()

    on_reactor(main)
    if not told:
        raise click.ClickException("the conversation with the group broke off")
    if isinstance(told[0], RequestFailedError):
        raise output.WrongData(f"quorum: {told[0]} ({', '.join(addresses or quorum.members)})")
    return told[0]


@inlineCallbacks
def ask_all(reactor: Any, quorum: QuorumSettings, addresses: list[str], what: str = "status") -> Any:
    """What each member answers, or why it does not."""
    found: dict[str, Any] = {}
    clients = {
        each: GroupClient(reactor, quorum.group, [parse_address(each)], random.Random(os.urandom(16)))
        for each in addresses
    }
    asked = {each: client.call(what, None, 2.0) for each, client in clients.items()}
    for address, answer in asked.items():
        try:
            found[address] = yield answer
        except RequestFailedError as wrong:
            found[address] = wrong.reason
    for client in clients.values():
        client.close()
    return found


def look(quorum: QuorumSettings) -> tuple[dict[str, Any], dict[str, Any] | None]:
    """What each member says, and the word of the one that leads in the newest term."""
    told: list[dict[str, Any]] = []

    @inlineCallbacks
    def main(reactor: Any) -> Any:
        found = yield ask_all(reactor, quorum, list(quorum.members))
        known = {m["address"] for each in found.values() if isinstance(each, dict) for m in each["members"]}
        found.update((yield ask_all(reactor, quorum, sorted(known - found.keys()))))
        told.append(found)

    on_reactor(main)
    found = told[0] if told else {}
    leading = [each for each in found.values() if isinstance(each, dict) and each["role"] == "leader"]
    return found, max(leading, key=lambda each: each["term"], default=None)


@group.command()
@FILE
@AS_JSON
def status(file: str, as_json: bool) -> None:
    """Who leads, and how far each member is. Exit code 1 where nobody leads."""
    quorum = chosen(file)
    found, leader = look(quorum)
    if as_json:
        click.echo(json.dumps({"leader": leader and leader["member"], "members": found}))
    else:
        rows = []
        for address, each in sorted(found.items()):
            if isinstance(each, dict):
                listed = next((m for m in each["members"] if m["seat"] == each["seat"]), None)
                votes = "no member" if listed is None else "yes" if listed["votes"] else "no"
                row = [each["role"], each["term"], each["applied"], each["last"], each["start"], each["seat"]]
                rows.append([each["member"], address, listed["zone"] if listed else "", votes, *row])
            else:
                rows.append(["", address, "", "", each, "", "", "", "", ""])
        output.table(HEAD, rows, False)
    if leader is None:
        raise output.WrongData("quorum: nobody leads; see docs/operate-leases.md, 'A lost majority'")


@group.command()
@FILE
@AS_JSON
def members(file: str, as_json: bool) -> None:
    """The group as its leader knows it."""
    _, leader = look(chosen(file))
    if leader is None:
        raise output.WrongData("quorum: nobody leads; see docs/operate-leases.md, 'A lost majority'")
    head = ["name", "address", "zone", "votes", "has", "heard_ms", "seat"]
    rows = [[each[key] if each[key] is not None else "" for key in head] for each in leader["members"]]
    output.table(head, rows, as_json)


@group.command()
@FILE
@click.argument("address")
@click.option("--learner", is_flag=True, help="It follows and does not vote.")
@click.option("--patience", default=60.0, show_default=True, help="Seconds for it to catch up.")
def add(file: str, address: str, learner: bool, patience: float) -> None:
    """Take in the member that runs at ADDRESS: it follows first, and votes once it has caught up."""
    quorum = chosen(file)
    new = talk(lambda reactor, client: client.call("status", None, PATIENCE), quorum, address)
    there = talk(lambda reactor, client: client.call("status", None, PATIENCE), quorum)
    if new.get("parts", there.get("parts")) != there.get("parts", new.get("parts")):  # older ones say none
        raise output.WrongInput(
            f"quorum: {address} decides on {', '.join(new['parts'])}, and the group on "
            f"{', '.join(there['parts'])}; quorum.distribution is to be the same in the files of all"
        )
    host, port = parse_address(address)
    who = [new["seat"], new["member"], host, port, new["zone"]]

    @inlineCallbacks
    def ask(reactor: Any, client: GroupClient) -> Any:
        listed = new["members"] and any(m["seat"] == new["seat"] and m["votes"] for m in new["members"])
        if not listed:
            yield client.call("add", [*who, False], PATIENCE)
        if learner:
            return None
        until = reactor.seconds() + patience
        while True:
            try:
                yield client.call("add", [*who, True], PATIENCE)
                return None
            except RequestFailedError as wrong:
                if wrong.reason != RejectReason.LEARNER_BEHIND.value or reactor.seconds() > until:
                    raise
            yield deferLater(reactor, LOOK, lambda: None)

    talk(ask, quorum)
    click.echo(f"{new['member']} is in the group" + (" and follows" if learner else " and votes"))


def seat_of(quorum: QuorumSettings, name: str) -> int:
    _, leader = look(quorum)
    if leader is None:
        raise output.WrongData("quorum: nobody leads; nothing was changed")
    for each in leader["members"]:
        if name in (each["name"], each["address"], str(each["seat"])):
            return each["seat"]
    known = ", ".join(each["name"] for each in leader["members"])
    raise output.WrongInput(f"quorum: {name!r} is no member; there are {known}")


@group.command()
@FILE
@click.argument("name")
def remove(file: str, name: str) -> None:
    """Take the member NAME out of the group; its directory is of no further use."""
    quorum = chosen(file)
    seat = seat_of(quorum, name)
    talk(lambda reactor, client: client.call("remove", seat, PATIENCE), quorum)
    click.echo(f"{name} is out of the group")


@group.command()
@FILE
@click.argument("name")
def transfer(file: str, name: str) -> None:
    """Have the member NAME lead."""
    quorum = chosen(file)
    seat = seat_of(quorum, name)

    @inlineCallbacks
    def ask(reactor: Any, client: GroupClient) -> Any:
        yield client.call("transfer", seat, PATIENCE)
        for _ in range(50):
            status = yield client.call("status", None, PATIENCE)
            if status["leader"] == seat:
                return True
            yield deferLater(reactor, LOOK, lambda: None)
        return False

    if not talk(ask, quorum):
        raise output.WrongData(f"quorum: {name} does not lead; the one before goes on")
    click.echo(f"{name} leads")


@group.command()
@FILE
@click.argument("name")
@AS_JSON
def get(file: str, name: str, as_json: bool) -> None:
    """The fact NAME. Exit code 1 where there is none."""
    fact = talk(lambda reactor, client: client.read("facts", name, PATIENCE), chosen(file))
    if fact is None:
        raise output.WrongData(f"quorum: no fact {name!r}")
    output.pairs({"value": fact[0].decode(errors="replace"), "revision": fact[1]}, as_json)


@group.command("set")
@FILE
@click.argument("name")
@click.argument("value")
@click.option("--only-if", type=int, help="The revision that it must have; 0: it must not be there.")
def put(file: str, name: str, value: str, only_if: int | None) -> None:
    """Set the fact NAME to VALUE."""
    wanted = ["set", name, value.encode(), only_if]
    done, revision, why = talk(
        lambda reactor, client: client.propose("facts", wanted, PATIENCE), chosen(file)
    )
    if not done:
        raise output.WrongData(f"quorum: {name!r} was not set: {why} ({revision})")
    click.echo(f"revision {revision}")
