"""`lichencleat quotas`: pools of calls that the fleet's nodes share, and who may use how much."""

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
    """Calls in hand below that all nodes share, each pool dealt out by one owner."""


def ask(file: str, what: str, part: str, content: Any) -> Any:
    return run_with_client(
        lambda reactor, client: getattr(client, what)(part, content, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )


def pools(file: str) -> dict[str, Pool]:
    return msgspec.convert(ask(file, "read", "shares", None) or {}, dict[str, Pool])


def named(file: str, pool: str) -> Pool:
    known = pools(file)
    if pool not in known:
        raise output.WrongInput(
            f"shares: {pool!r} is no pool; there are {', '.join(sorted(known)) or 'none'}"
        )
    return known[pool]


def propose(file: str, part: str, what: Any) -> None:
    done = msgspec.convert(ask(file, "propose", part, what), CommandReply)
    if not done.accepted:
        raise output.WrongData(f"shares: nothing was changed: {done.reason}")


@group.command("list")
@FILE
@AS_JSON
def list_pools(file: str, as_json: bool) -> None:
    """Each pool: its limit, what is reserved of it, who deals it out."""
    jobs = msgspec.convert(ask(file, "read", "owners", None)["jobs"], dict[str, Job])
    rows = []
    for name, pool in sorted(pools(file).items()):
        job = jobs.get(allocator_job(name))
        need = sum(each.demand for each in pool.node_quotas.values())
        seats = f"{len(pool.node_quotas)}/{pool.max_nodes}"
        owner = job.holder if job else ""
        rows.append(
            [name, pool.limit, reserved_calls(pool), need, pool.floor, seats, pool.term / SECOND, owner]
        )
    output.table(["pool", "limit", "reserved", "need", "floor", "seats", "term_s", "owner"], rows, as_json)


@group.command()
@FILE
@POOL
@AS_JSON
def show(file: str, pool: str, as_json: bool) -> None:
    """Each node's part of POOL: what is reserved for it, what it is to have, what it could use."""
    rows = [
        [name, each.reserved, each.target, each.demand, each.reserved_until_expiry]
        for name, each in sorted(named(file, pool).node_quotas.items())
    ]
    output.table(["node", "reserved", "to_have", "need", "of_earlier_life"], rows, as_json)


@group.command()
@FILE
@POOL
@click.option("--limit", type=int, required=True, help="Calls in hand that the dependency survives.")
@click.option("--nodes", type=int, required=True, help="How many nodes there may be.")
@click.option("--floor", default=0, show_default=True, help="Calls that a node may have without any word.")
@click.option("--term", default=5.0, show_default=True, help="Seconds that a grant lasts unless renewed.")
def define(file: str, pool: str, limit: int, nodes: int, floor: int, term: float) -> None:
    """Make POOL known, or change its limit; a smaller one holds once the nodes have let go."""
    propose(file, "shares", DefinePool(pool, limit, floor, nodes, round(term * SECOND)))
    propose(file, "owners", DefineJob(allocator_job(pool)))


@group.command()
@FILE
@POOL
def drop(file: str, pool: str) -> None:
    """Nobody shares POOL any more. Its nodes must be forgotten first."""
    propose(file, "shares", DropPool(pool))
    propose(file, "owners", DropJob(allocator_job(pool)))


@group.command()
@FILE
@POOL
@click.argument("node")
def forget(file: str, pool: str, node: str) -> None:
    """NODE is gone for good: its floor is free. Wrong while it runs, as it would go on using that."""
    propose(file, "shares", ForgetNode(pool, node))
