"""`lichencleat quotas`: capacity of shared dependencies (pools of calls in flight) and each node's quota."""

from __future__ import annotations

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
from lichencleat.leases.messages import DefineJob, DropJob, Job
from lichencleat.quotas.messages import CommandReply, DefinePool, DropPool, ForgetNode, Pool, allocator_job
from lichencleat.quotas.quota_state import reserved_calls

SECOND = 1_000_000  # µs
POOL = click.argument("pool")


@click.group("quotas", no_args_is_help=True)
def group() -> None:
    """Capacity of shared dependencies, allocated to the nodes: a pool of calls in flight per dependency."""


def call_group(file: str, method: str, part: str, content: Any) -> Any:
    """Call a method of the group's client, `read` or `propose`, for a part of the replicated state."""
    return run_with_client(
        lambda reactor, client: getattr(client, method)(part, content, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )


def read_pools(file: str) -> dict[str, Pool]:
    """Return the pools by name."""
    return msgspec.convert(call_group(file, "read", "shares", None) or {}, dict[str, Pool])


def read_pool(file: str, pool: str) -> Pool:
    """Return one pool. Raises WrongInput if the pool is not defined."""
    pools = read_pools(file)
    if pool not in pools:
        raise output.WrongInput(
            f"quotas: the pool {pool!r} is not defined; defined pools: {', '.join(sorted(pools)) or 'none'}"
        )
    return pools[pool]


def propose(file: str, part: str, command: Any) -> None:
    """Have the group apply a command. Raises WrongData if the group rejects the command."""
    reply = msgspec.convert(call_group(file, "propose", part, command), CommandReply)
    if not reply.accepted:
        raise output.WrongData(f"quotas: the group rejected the change: {reply.reason}")


@group.command("list")
@FILE
@AS_JSON
def list_pools(file: str, as_json: bool) -> None:
    """List the pools with their limits and use.

    Columns: limit, reserved calls, demand (need), floor per node, nodes of the maximum (seats), term of a
    grant, process that allocates (owner).
    """
    jobs = msgspec.convert(call_group(file, "read", "owners", None)["jobs"], dict[str, Job])
    rows = []
    for name, pool in sorted(read_pools(file).items()):
        job = jobs.get(allocator_job(name))
        demand = sum(each.demand for each in pool.node_quotas.values())
        nodes = f"{len(pool.node_quotas)}/{pool.max_nodes}"
        allocator = job.holder if job else ""
        rows.append(
            [
                name,
                pool.limit,
                reserved_calls(pool),
                demand,
                pool.floor,
                nodes,
                pool.term / SECOND,
                allocator,
            ]
        )
    output.table(["pool", "limit", "reserved", "need", "floor", "seats", "term_s", "owner"], rows, as_json)


@group.command()
@FILE
@POOL
@AS_JSON
def show(file: str, pool: str, as_json: bool) -> None:
    """Show the quota of each node in POOL.

    Columns, all in calls: reserved, target (to_have), demand (need), reserved until the grants of the node's
    earlier processes expire (of_earlier_life).
    """
    rows = [
        [name, each.reserved, each.target, each.demand, each.reserved_until_expiry]
        for name, each in sorted(read_pool(file, pool).node_quotas.items())
    ]
    output.table(["node", "reserved", "to_have", "need", "of_earlier_life"], rows, as_json)


@group.command()
@FILE
@POOL
@click.option("--limit", type=int, required=True, help="Calls in flight that the dependency can sustain.")
@click.option("--nodes", type=int, required=True, help="Maximum number of nodes.")
@click.option(
    "--floor", default=0, show_default=True, help="Calls in flight that a node may have without a grant."
)
@click.option(
    "--term", default=5.0, show_default=True, help="Seconds until a grant that is not renewed expires."
)
def define(file: str, pool: str, limit: int, nodes: int, floor: int, term: float) -> None:
    """Define POOL or change its limit. A smaller limit holds once the nodes have released enough calls."""
    propose(file, "shares", DefinePool(pool, limit, floor, nodes, round(term * SECOND)))
    propose(file, "owners", DefineJob(allocator_job(pool)))


@group.command()
@FILE
@POOL
def drop(file: str, pool: str) -> None:
    """Remove POOL. All nodes must be removed from POOL first, with `forget`."""
    propose(file, "shares", DropPool(pool))
    propose(file, "owners", DropJob(allocator_job(pool)))


@group.command()
@FILE
@POOL
@click.argument("node")
def forget(file: str, pool: str, node: str) -> None:
    """Remove NODE, which will not return, from POOL, and free the floor of NODE.

    Do not use this while NODE runs: NODE would continue to use the floor.
    """
    propose(file, "shares", ForgetNode(pool, node))
