"""`lichencleat failover`: which zone serves what, an operator's word on it, and what that would do."""

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
from lichencleat.failover.messages import (
    HISTORY_QUERY,
    JOB,
    ActiveOverride,
    ClearOverride,
    CommandReply,
    DefineZone,
    DropZone,
    OperatorOverride,
    RouterHealth,
    RoutingPlan,
    Zone,
    ZoneRole,
)
from lichencleat.failover.preview import preview_override
from lichencleat.leases.messages import DefineJob, Job

SECOND = 1_000_000  # µs
ZONE = click.argument("zone")
DRY = click.option("--dry-run", is_flag=True, help="Only tell what it would do.")
FOR = click.option(
    "--for", "seconds", type=click.FloatRange(min=1, max=604_800), help="Seconds; then it ends."
)


@click.group("failover", no_args_is_help=True)
def group() -> None:
    """The order of zones: who serves, who takes guests, and why."""


def words(role: ZoneRole) -> str:
    return role.label.replace("_", " ")


class Seen:
    """The voters' state of it, read at one moment."""

    def __init__(self, file: str) -> None:
        told = run_with_client(
            lambda reactor, client: client.read("zones", None, CLI_REQUEST_TIMEOUT_S),
            read_group_settings(file),
        )
        if not told:
            raise output.WrongData("zones: these voters know of no zones; they are of an older version")
        self.zones = msgspec.convert(told["zones"], dict[str, Zone])
        self.plan = msgspec.convert(told["order"], RoutingPlan)
        self.router_health = msgspec.convert(told["sources"], dict[str, RouterHealth])
        self.overrides = msgspec.convert(told["wishes"], dict[str, ActiveOverride])

    def named(self, zone: str) -> Zone:
        if zone not in self.zones:
            there = ", ".join(sorted(self.zones)) or "none"
            raise output.WrongInput(f"zones: {zone!r} is no zone; there are {there}")
        return self.zones[zone]

    def routers(self, zone: str) -> list[str]:
        return sorted(name for name, each in self.router_health.items() if each.zone == zone)

    def offered(self, zone: str) -> float:
        return sum(each.offered for each in self.router_health.values() if each.zone == zone)


def propose(file: str, part: str, what: Any) -> None:
    told = run_with_client(
        lambda reactor, client: client.propose(part, what, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    done = msgspec.convert(told, CommandReply)
    if not done.accepted:
        raise output.WrongData(f"zones: nothing was changed: {done.reason}")


@group.command()
@FILE
@ZONE
@click.option("--region", default="", help="Zones of one region are near one another.")
@click.option(
    "--carries", type=click.FloatRange(min=0, min_open=True), required=True, help="Requests a second."
)
@click.option("--far", multiple=True, metavar="ZONE=MS", help="The way there and back, in ms; once for each.")
def define(file: str, zone: str, region: str, carries: float, far: tuple[str, ...]) -> None:
    """Make ZONE known, or change what is known of it; the job `zones` as well, where there is none."""
    ways = {}
    for each in far:
        name, _, span = each.partition("=")
        try:
            ways[name] = round(float(span) * 1_000)
        except ValueError:
            ways[name] = -1
        if not name or not 0 <= ways[name] <= 10 * SECOND:
            raise output.WrongInput(
                f"zones define: --far {each}: write it as maribor=12.5, in ms up to 10,000"
            )
    jobs = run_with_client(
        lambda reactor, client: client.read("owners", None, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    if JOB not in msgspec.convert(jobs["jobs"], dict[str, Job]):
        propose(file, "owners", DefineJob(JOB))
    propose(file, "zones", DefineZone(zone, region, carries, ways))


@group.command()
@FILE
@ZONE
def drop(file: str, zone: str) -> None:
    """ZONE is no more."""
    propose(file, "zones", DropZone(zone))


@group.command()
@FILE
@AS_JSON
def status(file: str, as_json: bool) -> None:
    """Each zone: what it is to do, what comes to it, what it carries, how many guests it may get."""
    seen = Seen(file)
    rows = [
        [
            name,
            each.region,
            words(seen.plan.role(name)),
            round(seen.offered(name), 1),
            round(each.capacity, 1),
            round(seen.plan.spillover.get(name, 0.0), 1),
            round(seen.plan.shed.get(name, 0.0), 2),
            len(seen.routers(name)),
            min((seen.router_health[who].plan_version for who in seen.routers(name)), default=""),
        ]
        for name, each in sorted(seen.zones.items())
    ]
    head = ["zone", "region", "duty", "offered", "carries", "guests", "deferred", "routers", "oldest_order"]
    output.table(head, rows, as_json)
    if not as_json:
        click.echo(f"\norder {seen.plan.version}: {seen.plan.reason or 'none was given yet'}")


@group.command()
@FILE
@AS_JSON
def history(file: str, as_json: bool) -> None:
    """The orders before, the newest last."""
    told = run_with_client(
        lambda reactor, client: client.read("zones", HISTORY_QUERY, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    rows = [
        [
            each.version,
            ", ".join(f"{zone} {ZoneRole(role).label}" for zone, role in sorted(each.roles.items())),
            ", ".join(f"{zone} {room:g}" for zone, room in sorted(each.spillover.items())),
            each.reason,
        ]
        for each in msgspec.convert(told or [], list[RoutingPlan])
    ]
    output.table(["number", "duties", "guests", "why"], rows, as_json)


def wishes(file: str, zone: str, role: ZoneRole, seconds: float | None, dry_run: bool) -> None:
    """Tells what it would do, and then has it done."""
    seen = Seen(file)
    seen.named(zone)
    plan = preview_override(seen.zones, seen.plan, seen.router_health, seen.overrides, zone, role)
    moved = seen.offered(zone)
    taken = sum(room for name, room in plan.spillover.items() if name != zone)
    click.echo(f"{zone}: {words(role)}; {moved:.1f} requests a second come there")
    if role in (ZoneRole.DRAINING, ZoneRole.FENCED):
        click.echo(f"the others have room for {taken:.1f}; {plan.shed.get(zone, 0.0):.0%} would be deferred")
    if not dry_run:
        propose(file, "zones", OperatorOverride(zone, role, round((seconds or 0) * SECOND)))


@group.command()
@FILE
@ZONE
@FOR
@DRY
def drain(file: str, zone: str, seconds: float | None, dry_run: bool) -> None:
    """What comes in ZONE goes elsewhere, as far as others carry it; until `zones open`, or for a span."""
    wishes(file, zone, ZoneRole.DRAINING, seconds, dry_run)


@group.command()
@FILE
@ZONE
@click.option("--for", "seconds", type=click.FloatRange(min=1, max=86_400), required=True, help="Seconds.")
@DRY
def drill(file: str, zone: str, seconds: float, dry_run: bool) -> None:
    """As drain, for a span that the owner counts: it ends though this terminal dies."""
    wishes(file, zone, ZoneRole.DRAINING, seconds, dry_run)


@group.command()
@FILE
@ZONE
@FOR
@DRY
def fence(file: str, zone: str, seconds: float | None, dry_run: bool) -> None:
    """Nothing at all goes to ZONE."""
    wishes(file, zone, ZoneRole.FENCED, seconds, dry_run)


@group.command("open")
@FILE
@ZONE
def open_zone(file: str, zone: str) -> None:
    """Take back an operator's word on ZONE; what is seen of it counts again."""
    Seen(file).named(zone)
    propose(file, "zones", ClearOverride(zone))


@group.command()
@FILE
@ZONE
def explain(file: str, zone: str) -> None:
    """Why ZONE does what it does."""
    seen = Seen(file)
    each = seen.named(zone)
    click.echo(f"{zone}: {words(seen.plan.role(zone))} by order {seen.plan.version}")
    click.echo(
        f"it is known to carry {each.capacity:.1f} requests a second; {seen.offered(zone):.1f} come there"
    )
    if zone in seen.overrides:
        override = seen.overrides[zone]
        until = f", for {override.duration / SECOND:g} s from when it was given" if override.duration else ""
        click.echo(f"an operator's word: {ZoneRole(override.role).label}{until}")
    routers = seen.routers(zone)
    behind = [who for who in routers if seen.router_health[who].plan_version < seen.plan.version]
    click.echo(f"routers: {', '.join(routers) or 'none is heard of'}")
    if behind:
        click.echo(f"these had an older order when they told last: {', '.join(behind)}")
    click.echo(f"the order: {seen.plan.reason or 'none was given yet'}")
