"""`lichencleat failover`: which zone serves what, an operator's word on it, and what that would do."""

from __future__ import annotations

from typing import Any

import click
import msgspec

from lichencleat.cli import output
from lichencleat.cli.consensus import AS_JSON, FILE, PATIENCE, chosen, talk
from lichencleat.failover.preview import preview
from lichencleat.failover.terms import (
    JOB,
    Define,
    Done,
    Drop,
    Duty,
    Order,
    Source,
    Unwish,
    Wish,
    Wished,
    Zone,
)
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


def words(duty: Duty) -> str:
    return duty.name.lower().replace("_", " ")


class Seen:
    """The voters' state of it, read at one moment."""

    def __init__(self, file: str) -> None:
        told = talk(lambda reactor, client: client.read("zones", None, PATIENCE), chosen(file))
        if not told:
            raise output.WrongData("zones: these voters know of no zones; they are of an older version")
        self.zones = msgspec.convert(told["zones"], dict[str, Zone])
        self.order = msgspec.convert(told["order"], Order)
        self.sources = msgspec.convert(told["sources"], dict[str, Source])
        self.wishes = msgspec.convert(told["wishes"], dict[str, Wished])

    def named(self, zone: str) -> Zone:
        if zone not in self.zones:
            there = ", ".join(sorted(self.zones)) or "none"
            raise output.WrongInput(f"zones: {zone!r} is no zone; there are {there}")
        return self.zones[zone]

    def routers(self, zone: str) -> list[str]:
        return sorted(name for name, each in self.sources.items() if each.zone == zone)

    def offered(self, zone: str) -> float:
        return sum(each.offered for each in self.sources.values() if each.zone == zone)


def propose(file: str, part: str, what: Any) -> None:
    told = talk(lambda reactor, client: client.propose(part, what, PATIENCE), chosen(file))
    done = msgspec.convert(told, Done)
    if not done.done:
        raise output.WrongData(f"zones: nothing was changed: {done.why}")


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
    jobs = talk(lambda reactor, client: client.read("owners", None, PATIENCE), chosen(file))
    if JOB not in msgspec.convert(jobs["jobs"], dict[str, Job]):
        propose(file, "owners", DefineJob(JOB))
    propose(file, "zones", Define(zone, region, carries, ways))


@group.command()
@FILE
@ZONE
def drop(file: str, zone: str) -> None:
    """ZONE is no more."""
    propose(file, "zones", Drop(zone))


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
            words(seen.order.duty(name)),
            round(seen.offered(name), 1),
            round(each.carries, 1),
            round(seen.order.guests.get(name, 0.0), 1),
            round(seen.order.edge.get(name, 0.0), 2),
            len(seen.routers(name)),
            min((seen.sources[who].order for who in seen.routers(name)), default=""),
        ]
        for name, each in sorted(seen.zones.items())
    ]
    head = ["zone", "region", "duty", "offered", "carries", "guests", "deferred", "routers", "oldest_order"]
    output.table(head, rows, as_json)
    if not as_json:
        click.echo(f"\norder {seen.order.number}: {seen.order.why or 'none was given yet'}")


@group.command()
@FILE
@AS_JSON
def history(file: str, as_json: bool) -> None:
    """The orders before, the newest last."""
    told = talk(lambda reactor, client: client.read("zones", "history", PATIENCE), chosen(file))
    rows = [
        [
            each.number,
            ", ".join(f"{zone} {Duty(duty).name.lower()}" for zone, duty in sorted(each.duties.items())),
            ", ".join(f"{zone} {room:g}" for zone, room in sorted(each.guests.items())),
            each.why,
        ]
        for each in msgspec.convert(told or [], list[Order])
    ]
    output.table(["number", "duties", "guests", "why"], rows, as_json)


def wishes(file: str, zone: str, duty: Duty, seconds: float | None, dry_run: bool) -> None:
    """Tells what it would do, and then has it done."""
    seen = Seen(file)
    seen.named(zone)
    order = preview(seen.zones, seen.order, seen.sources, seen.wishes, zone, duty)
    moved = seen.offered(zone)
    taken = sum(room for name, room in order.guests.items() if name != zone)
    click.echo(f"{zone}: {words(duty)}; {moved:.1f} requests a second come there")
    if duty in (Duty.DRAINS, Duty.FENCED):
        click.echo(f"the others have room for {taken:.1f}; {order.edge.get(zone, 0.0):.0%} would be deferred")
    if not dry_run:
        propose(file, "zones", Wish(zone, duty, round((seconds or 0) * SECOND)))


@group.command()
@FILE
@ZONE
@FOR
@DRY
def drain(file: str, zone: str, seconds: float | None, dry_run: bool) -> None:
    """What comes in ZONE goes elsewhere, as far as others carry it; until `zones open`, or for a span."""
    wishes(file, zone, Duty.DRAINS, seconds, dry_run)


@group.command()
@FILE
@ZONE
@click.option("--for", "seconds", type=click.FloatRange(min=1, max=86_400), required=True, help="Seconds.")
@DRY
def drill(file: str, zone: str, seconds: float, dry_run: bool) -> None:
    """As drain, for a span that the owner counts: it ends though this terminal dies."""
    wishes(file, zone, Duty.DRAINS, seconds, dry_run)


@group.command()
@FILE
@ZONE
@FOR
@DRY
def fence(file: str, zone: str, seconds: float | None, dry_run: bool) -> None:
    """Nothing at all goes to ZONE."""
    wishes(file, zone, Duty.FENCED, seconds, dry_run)


@group.command("open")
@FILE
@ZONE
def open_zone(file: str, zone: str) -> None:
    """Take back an operator's word on ZONE; what is seen of it counts again."""
    Seen(file).named(zone)
    propose(file, "zones", Unwish(zone))


@group.command()
@FILE
@ZONE
def explain(file: str, zone: str) -> None:
    """Why ZONE does what it does."""
    seen = Seen(file)
    each = seen.named(zone)
    click.echo(f"{zone}: {words(seen.order.duty(zone))} by order {seen.order.number}")
    click.echo(
        f"it is known to carry {each.carries:.1f} requests a second; {seen.offered(zone):.1f} come there"
    )
    if zone in seen.wishes:
        wish = seen.wishes[zone]
        until = f", for {wish.span / SECOND:g} s from when it was given" if wish.span else ""
        click.echo(f"an operator's word: {Duty(wish.duty).name.lower()}{until}")
    routers = seen.routers(zone)
    behind = [who for who in routers if seen.sources[who].order < seen.order.number]
    click.echo(f"routers: {', '.join(routers) or 'none is heard of'}")
    if behind:
        click.echo(f"these had an older order when they told last: {', '.join(behind)}")
    click.echo(f"the order: {seen.order.why or 'none was given yet'}")
