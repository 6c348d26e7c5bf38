"""`lichencleat fleet`: the fraction of requests that each node admits, and recovery after a power loss."""

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

LIVE_INTERVAL_S = 0.5  # between two lines of `plan --live`
NODE = click.argument("node")


@click.group("fleet", no_args_is_help=True)
def group() -> None:
    """All nodes: the fraction of requests that each admits; recovery after a power loss."""


def read_fleet(file: str) -> tuple[int, dict[str, NodeState], RolloutPlan | None]:
    """Return the epoch, the nodes by name, and the plan of the recovery in progress, if there is one."""
    fleet_state = run_with_client(
        lambda reactor, client: client.read("revive", None, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    if not fleet_state:
        raise output.WrongData("fleet: the voters run an older version without fleet recovery; upgrade them")
    nodes = msgspec.convert(fleet_state["nodes"], dict[str, NodeState])
    return fleet_state["epoch"], nodes, msgspec.convert(fleet_state["plan"], RolloutPlan | None)


def propose(file: str, command: Any) -> None:
    """Have the group apply a command. Raises WrongData if the group rejects the command."""
    reply = run_with_client(
        lambda reactor, client: client.propose("revive", command, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    command_reply = msgspec.convert(reply, CommandReply)
    if not command_reply.accepted:
        raise output.WrongData(f"fleet: the group rejected the change: {command_reply.reason}")


@group.command()
@FILE
@AS_JSON
def status(file: str, as_json: bool) -> None:
    """List the nodes with the fraction of requests that each admits.

    Columns: status (door), admitted fraction of the arrivals (share), whether the interpreter is ready,
    whether the idempotency records are verified (proof), load (strain), rollout batch (wave).
    """
    epoch, nodes, plan = read_fleet(file)
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
        click.echo(f"\nepoch {epoch}; {describe_recovery(plan, nodes)}")


def describe_recovery(plan: RolloutPlan | None, nodes: dict[str, NodeState]) -> str:
    """Return whether a recovery is in progress and why it waits, and the nodes that do not report."""
    silent = sorted(name for name, each in nodes.items() if each.status == NodeStatus.GONE)
    note = f"; no reports from {', '.join(silent[:8])}{' ...' if len(silent) > 8 else ''}" if silent else ""
    if plan is None:
        return f"no recovery is in progress{note}"
    paused = ", paused by an operator" if plan.paused else ""
    return f"a recovery is in progress{paused}: {plan.reason or 'about to begin'}{note}"


@group.command("plan")
@FILE
@AS_JSON
@click.option("--live", is_flag=True, help="Print a line at intervals until the recovery has ended.")
def show_plan(file: str, as_json: bool, live: bool) -> None:
    """Show the recovery in progress: the current batch, how many nodes may be open, and why."""
    while True:
        epoch, nodes, plan = read_fleet(file)
        open_count = sum(each.status == NodeStatus.OPEN for each in nodes.values())
        pairs: dict[str, Any] = {
            "epoch": epoch,
            "open": open_count,
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
        click.echo(f"epoch {epoch}: {open_count} of {len(nodes)} open; {describe_recovery(plan, nodes)}")
        if plan is None:
            return
        time.sleep(LIVE_INTERVAL_S)


@group.command()
@FILE
def hold(file: str) -> None:
    """Pause the recovery: no further batch of nodes is opened, and no batch is shut again."""
    propose(file, PauseRollout(True))


@group.command()
@FILE
def go(file: str) -> None:
    """Resume the recovery after `hold`."""
    propose(file, PauseRollout(False))


@group.command()
@FILE
@NODE
def skip(file: str, node: str) -> None:
    """Open NODE now, ahead of its batch. The node's own checks still apply."""
    propose(file, SkipNode(node))


@group.command()
@FILE
@NODE
def forget(file: str, node: str) -> None:
    """Remove NODE, which will not return, so that the recovery does not wait for NODE."""
    propose(file, ForgetNode(node))


@group.command()
@FILE
@NODE
def explain(file: str, node: str) -> None:
    """Show which fraction of requests NODE admits, and why."""
    epoch, nodes, plan = read_fleet(file)
    if node not in nodes:
        known = ", ".join(sorted(nodes)) or "none"
        raise output.WrongInput(f"fleet: the node {node!r} is unknown; known nodes: {known}")
    each = nodes[node]
    status = NodeStatus(each.status).name.lower()
    click.echo(
        f"{node}: epoch {epoch}, zone {each.zone or '-'}, {status}, admits {each.share:.2f} of arrivals"
    )
    if each.status == NodeStatus.GONE:
        click.echo("it sends no reports: it is down, stopped or cut off from the voters")
    if not each.ready:
        click.echo("its interpreter is not ready")
    if not each.records_verified:
        click.echo(
            "its idempotency records are not verified: requests with an idempotency key wait or are rejected"
        )
    click.echo(explain_share(each, plan) or "it admits all arrivals")
