"""`lichencleat fleet`: how far the fleet is open, its return after a power loss, an operator's word on it."""

from __future__ import annotations

import time
from typing import Any

import click
import msgspec

from lichencleat.cli import output
from lichencleat.cli.consensus import (
    AS_JSON,
    CLI_REQUEST_TIMEOUT_S,
    FILE,
    read_group_settings,
    run_with_client,
)
from lichencleat.recovery.messages import (
    CommandReply,
    ForgetNode,
    NodeState,
    NodeStatus,
    PauseRollout,
    RolloutPlan,
    SkipNode,
)
from lichencleat.recovery.state import explain_share

LIVE = 0.5  # s between two pictures of `plan --live`
NODE = click.argument("node")


@click.group("fleet", no_args_is_help=True)
def group() -> None:
    """All nodes as the voters know them, and their return after a power loss."""


def state(file: str) -> tuple[int, dict[str, NodeState], RolloutPlan | None]:
    told = run_with_client(
        lambda reactor, client: client.read("revive", None, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    if not told:
        raise output.WrongData("fleet: these voters know of no fleet; they are of an older version")
    nodes = msgspec.convert(told["nodes"], dict[str, NodeState])
    return told["epoch"], nodes, msgspec.convert(told["plan"], RolloutPlan | None)


def propose(file: str, what: Any) -> None:
    told = run_with_client(
        lambda reactor, client: client.propose("revive", what, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    done = msgspec.convert(told, CommandReply)
    if not done.accepted:
        raise output.WrongData(f"fleet: nothing was changed: {done.reason}")


@group.command()
@FILE
@AS_JSON
def status(file: str, as_json: bool) -> None:
    """Each node: open or shut, how far, and what it has to show."""
    epoch, nodes, plan = state(file)
    rows = [
        [
            name,
            each.zone,
            NodeStatus(each.status).name.lower(),
            each.share,
            "yes" if each.ready else "no",
            "yes" if each.records_verified else "no",
            round(each.load, 2),
            each.batch,
        ]
        for name, each in sorted(nodes.items())
    ]
    output.table(["node", "zone", "door", "share", "ready", "proof", "strain", "wave"], rows, as_json)
    if not as_json:
        click.echo(f"\nepoch {epoch}; {said(plan, nodes)}")


def said(plan: RolloutPlan | None, nodes: dict[str, NodeState]) -> str:
    away = sorted(name for name, each in nodes.items() if each.status == NodeStatus.GONE)
    waits = f"; nothing is heard of {', '.join(away[:8])}{' ...' if len(away) > 8 else ''}" if away else ""
    if plan is None:
        return f"no return is under way{waits}"
    held = ", held by an operator" if plan.paused else ""
    return f"a return is under way{held}: {plan.reason or 'about to begin'}{waits}"


@group.command("plan")
@FILE
@AS_JSON
@click.option("--live", is_flag=True, help="Goes on until the return is over; on a terminal, in place.")
def show_plan(file: str, as_json: bool, live: bool) -> None:
    """The return under way: its stage, how many may be open, why."""
    while True:
        epoch, nodes, plan = state(file)
        open_ = sum(each.status == NodeStatus.OPEN for each in nodes.values())
        pairs: dict[str, Any] = {
            "epoch": epoch,
            "open": open_,
            "known": len(nodes),
            "under_way": plan is not None,
        }
        if plan is not None:
            pairs |= {
                "wave": plan.batch,
                "may_be_open": int(plan.max_open),
                "part_below": round(plan.dependency_share, 3),
                "relapses": plan.rollbacks,
                "held": plan.paused,
                "why": plan.reason,
            }
        if not live:
            output.pairs(pairs, as_json)
            return
        click.echo(f"epoch {epoch}: {open_} of {len(nodes)} open; {said(plan, nodes)}")
        if plan is None:
            return
        time.sleep(LIVE)


@group.command()
@FILE
def hold(file: str) -> None:
    """The return stays as it is: no wave more, none taken back."""
    propose(file, PauseRollout(True))


@group.command()
@FILE
def go(file: str) -> None:
    """The return goes on."""
    propose(file, PauseRollout(False))


@group.command()
@FILE
@NODE
def skip(file: str, node: str) -> None:
    """Open NODE now, out of its turn; its own proofs still hold."""
    propose(file, SkipNode(node))


@group.command()
@FILE
@NODE
def forget(file: str, node: str) -> None:
    """NODE does not come back: nobody waits for it."""
    propose(file, ForgetNode(node))


@group.command()
@FILE
@NODE
def explain(file: str, node: str) -> None:
    """Why NODE is open as far as it is."""
    epoch, nodes, plan = state(file)
    if node not in nodes:
        there = ", ".join(sorted(nodes)) or "none"
        raise output.WrongInput(f"fleet: {node!r} was never heard of; there are {there}")
    each = nodes[node]
    status = NodeStatus(each.status).name.lower()
    click.echo(f"{node}: epoch {epoch}, zone {each.zone or '-'}, {status} to {each.share:.2f}")
    if each.status == NodeStatus.GONE:
        click.echo("nothing is heard of it: it is down, stopped or cut off from the voters")
    if not each.ready:
        click.echo("its interpreter is not up")
    if not each.records_verified:
        click.echo("its receipts do not stand: what is receipted waits or is deferred")
    click.echo(explain_share(each, plan) or "it serves all that comes")
