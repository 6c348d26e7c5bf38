"""`lichencleat consensus`: create a group of voters, run its members, show and change the membership."""

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
CLI_REQUEST_TIMEOUT_S = 10.0  # for each request that a command sends to the group
POLL_INTERVAL_S = 0.1  # between requests that wait until a member has caught up or leads

FILE = click.argument("file", type=click.Path(dir_okay=False))
AS_JSON = click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")


@click.group("consensus", no_args_is_help=True)
def group() -> None:
    """Groups of voters with a replicated log: found a group, run members, change the membership."""


def read_group_settings(path: str, member: bool = False) -> QuorumSettings:
    """Read the settings of a group, and with `member` also those of a member. Raises WrongInput."""
    try:
        return read_quorum_settings(path, member)
    except InvalidConfigError as error:
        raise output.WrongInput(str(error)) from error


@group.command()
@FILE
def found(file: str) -> None:
    """Create a new group whose only voter is the member that FILE configures."""
    try:
        identity = bootstrap_group(read_group_settings(file, member=True), random.Random(os.urandom(16)))
    except (BootstrapError, StoreError) as error:
        raise output.WrongInput(f"consensus found: {error}") from error
    output.pairs(
        {"group": identity.cluster_id.hex(), "member": identity.member_name, "seat": identity.member_id},
        False,
    )


@group.command()
@FILE
def run(file: str) -> None:
    """Run the member that FILE configures until SIGTERM."""
    raise click.exceptions.Exit(run_coordinator(read_group_settings(file, member=True)))


def run_on_reactor(main: Callable[[Any], Any]) -> None:
    """Run `main` to its end on a new reactor. A reactor can run only once, and some commands run several."""
    reactor = EPollReactor()

    def begin() -> None:
        main(reactor).addBoth(lambda result: reactor.stop() or result).addErrback(failed.append)

    failed: list[Any] = []
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    if failed:
        failed[0].raiseException()


def run_with_client(
    operation: Callable[[Any, GroupClient], Any], quorum: QuorumSettings, *addresses: str
) -> Any:
    """Run an operation with a client of the group, and return the operation's result.

    The client connects to `addresses`, by default to the members in the settings. Raises WrongData if a
    request fails.
    """
    results: list[Any] = []

    @inlineCallbacks
    def main(reactor: Any) -> Any:
        parsed_addresses = [parse_address(each) for each in addresses or quorum.members]
        client = GroupClient(reactor, quorum.group, parsed_addresses, random.Random(os.urandom(16)))
        try:
            results.append((yield operation(reactor, client)))
        except RequestFailedError as error:
            results.append(error)
        finally:
            client.close()

    run_on_reactor(main)
    if not results:
        raise click.ClickException("the command was interrupted before the group answered; run it again")
    if isinstance(results[0], RequestFailedError):
        raise output.WrongData(f"consensus: {results[0]} (asked: {', '.join(addresses or quorum.members)})")
    return results[0]


@inlineCallbacks
def call_members(
    reactor: Any, quorum: QuorumSettings, addresses: list[str], operation: str = "status"
) -> Any:
    """Send a request to each address. Return by address the reply, or the reason why there is none."""
    replies: dict[str, Any] = {}
    clients = {
        each: GroupClient(reactor, quorum.group, [parse_address(each)], random.Random(os.urandom(16)))
        for each in addresses
    }
    requests = {each: client.call(operation, None, 2.0) for each, client in clients.items()}
    for address, request in requests.items():
        try:
            replies[address] = yield request
        except RequestFailedError as error:
            replies[address] = error.reason
    for client in clients.values():
        client.close()
    return replies


def read_statuses(quorum: QuorumSettings) -> tuple[dict[str, Any], dict[str, Any] | None]:
    """Return by address each member's status (or why there is none), and the status of the leader.

    The second value is None if no member leads. If several members claim to lead, the newest term counts.
    """
    results: list[dict[str, Any]] = []

    @inlineCallbacks
    def main(reactor: Any) -> Any:
        replies = yield call_members(reactor, quorum, list(quorum.members))
        known_addresses = {
            m["address"] for each in replies.values() if isinstance(each, dict) for m in each["members"]
        }
        replies.update((yield call_members(reactor, quorum, sorted(known_addresses - replies.keys()))))
        results.append(replies)

    run_on_reactor(main)
    replies = results[0] if results else {}
    leaders = [each for each in replies.values() if isinstance(each, dict) and each["role"] == "leader"]
    return replies, max(leaders, key=lambda each: each["term"], default=None)


@group.command()
@FILE
@AS_JSON
def status(file: str, as_json: bool) -> None:
    """Show the role and the log position of each member. Exit code 1 if no member leads.

    Columns: name, address, zone, whether the member votes, role, term, index of the last log entry that was
    applied (applied), index of the last log entry (last), number of starts of the member (start), id (seat).
    """
    quorum = read_group_settings(file)
    replies, leader = read_statuses(quorum)
    if as_json:
        click.echo(json.dumps({"leader": leader and leader["member"], "members": replies}))
    else:
        rows = []
        for address, each in sorted(replies.items()):
            if isinstance(each, dict):
                listed = next((m for m in each["members"] if m["seat"] == each["seat"]), None)
                votes = "no member" if listed is None else "yes" if listed["votes"] else "no"
                row = [each["role"], each["term"], each["applied"], each["last"], each["start"], each["seat"]]
                rows.append([each["member"], address, listed["zone"] if listed else "", votes, *row])
            else:
                rows.append(["", address, "", "", each, "", "", "", "", ""])
        output.table(HEAD, rows, False)
    if leader is None:
        raise output.WrongData(
            "consensus: no member leads the group; see docs/operate-leases.md, 'A lost majority'"
        )


@group.command()
@FILE
@AS_JSON
def members(file: str, as_json: bool) -> None:
    """Show the members of the group as the leader knows them.

    Columns: name, address, zone, whether the member votes, index of the last log entry that the member is
    known to have (has), ms since the member's last response (heard_ms), id (seat).
    """
    _, leader = read_statuses(read_group_settings(file))
    if leader is None:
        raise output.WrongData(
            "consensus: no member leads the group; see docs/operate-leases.md, 'A lost majority'"
        )
    head = ["name", "address", "zone", "votes", "has", "heard_ms", "seat"]
    rows = [[each[key] if each[key] is not None else "" for key in head] for each in leader["members"]]
    output.table(head, rows, as_json)


@group.command()
@FILE
@click.argument("address")
@click.option("--learner", is_flag=True, help="Add the member as a learner, which does not vote.")
@click.option(
    "--patience", default=60.0, show_default=True, help="Seconds that the new member may take to catch up."
)
def add(file: str, address: str, learner: bool, patience: float) -> None:
    """Add the member that runs at ADDRESS: first as a learner, then as a voter once the log is replicated."""
    quorum = read_group_settings(file)
    new_status = run_with_client(
        lambda reactor, client: client.call("status", None, CLI_REQUEST_TIMEOUT_S), quorum, address
    )
    group_status = run_with_client(
        lambda reactor, client: client.call("status", None, CLI_REQUEST_TIMEOUT_S), quorum
    )
    # Older members do not report the parts of their replicated state.
    if new_status.get("parts", group_status.get("parts")) != group_status.get(
        "parts", new_status.get("parts")
    ):
        raise output.WrongInput(
            f"consensus: {address} replicates {', '.join(new_status['parts'])}, but the group replicates "
            f"{', '.join(group_status['parts'])}; set quorum.distribution to the same value in all files"
        )
    host, port = parse_address(address)
    member = [new_status["seat"], new_status["member"], host, port, new_status["zone"]]

    @inlineCallbacks
    def add_member(reactor: Any, client: GroupClient) -> Any:
        is_voter = new_status["members"] and any(
            m["seat"] == new_status["seat"] and m["votes"] for m in new_status["members"]
        )
        if not is_voter:
            yield client.call("add", [*member, False], CLI_REQUEST_TIMEOUT_S)
        if learner:
            return None
        deadline = reactor.seconds() + patience
        while True:
            try:
                yield client.call("add", [*member, True], CLI_REQUEST_TIMEOUT_S)
                return None
            except RequestFailedError as error:
                if error.reason != RejectReason.LEARNER_BEHIND.value or reactor.seconds() > deadline:
                    raise
            yield deferLater(reactor, POLL_INTERVAL_S, lambda: None)

    run_with_client(add_member, quorum)
    click.echo(f"{new_status['member']} is in the group" + (" as a learner" if learner else " as a voter"))


def find_member_id(quorum: QuorumSettings, name: str) -> int:
    """Return the id of the member with a name, address or id.

    Raises WrongInput if there is no such member, WrongData if no member leads.
    """
    _, leader = read_statuses(quorum)
    if leader is None:
        raise output.WrongData(
            "consensus: nothing was changed, as no member leads; see 'lichencleat consensus status FILE'"
        )
    for each in leader["members"]:
        if name in (each["name"], each["address"], str(each["seat"])):
            return each["seat"]
    names = ", ".join(each["name"] for each in leader["members"])
    raise output.WrongInput(f"consensus: {name!r} is not a member of the group; the members are {names}")


@group.command()
@FILE
@click.argument("name")
def remove(file: str, name: str) -> None:
    """Remove the member NAME from the group. The member's directory is of no further use."""
    quorum = read_group_settings(file)
    member_id = find_member_id(quorum, name)
    run_with_client(lambda reactor, client: client.call("remove", member_id, CLI_REQUEST_TIMEOUT_S), quorum)
    click.echo(f"{name} is removed from the group")


@group.command()
@FILE
@click.argument("name")
def transfer(file: str, name: str) -> None:
    """Transfer the leadership to the member NAME."""
    quorum = read_group_settings(file)
    member_id = find_member_id(quorum, name)

    @inlineCallbacks
    def transfer_leadership(reactor: Any, client: GroupClient) -> Any:
        yield client.call("transfer", member_id, CLI_REQUEST_TIMEOUT_S)
        for _ in range(50):
            status = yield client.call("status", None, CLI_REQUEST_TIMEOUT_S)
            if status["leader"] == member_id:
                return True
            yield deferLater(reactor, POLL_INTERVAL_S, lambda: None)
        return False

    if not run_with_client(transfer_leadership, quorum):
        raise output.WrongData(
            f"consensus: {name} did not become the leader; see 'lichencleat consensus status FILE'"
        )
    click.echo(f"{name} leads")


@group.command()
@FILE
@click.argument("name")
@AS_JSON
def get(file: str, name: str, as_json: bool) -> None:
    """Print the value and the revision of the key NAME. Exit code 1 if the key does not exist."""
    entry = run_with_client(
        lambda reactor, client: client.read("facts", name, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    if entry is None:
        raise output.WrongData(f"consensus: there is no key {name!r}")
    output.pairs({"value": entry[0].decode(errors="replace"), "revision": entry[1]}, as_json)


@group.command("set")
@FILE
@click.argument("name")
@click.argument("value")
@click.option("--only-if", type=int, help="Revision that the key must have; 0: the key must not exist.")
def put(file: str, name: str, value: str, only_if: int | None) -> None:
    """Set the key NAME to VALUE, in the group's replicated key-value pairs."""
    command = ["set", name, value.encode(), only_if]
    accepted, revision, reason = run_with_client(
        lambda reactor, client: client.propose("facts", command, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    if not accepted:
        raise output.WrongData(f"consensus: {name!r} was not set: {reason} (its revision is {revision})")
    click.echo(f"revision {revision}")
