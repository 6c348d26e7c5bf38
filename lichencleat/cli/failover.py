"""`lichencleat failover`: routing of requests between zones, and operators' overrides with a preview."""

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
DRY_RUN = click.option("--dry-run", is_flag=True, help="Only print the effect; change nothing.")
DURATION = click.option(
    "--for",
    "seconds",
    type=click.FloatRange(min=1, max=604_800),
    help="Seconds that the override lasts; default: no limit.",
)


@click.group("failover", no_args_is_help=True)
def group() -> None:
    """Routing of requests between zones: status, overrides, drills, reasons."""


def role_text(role: ZoneRole) -> str:
    """Return a role as it is printed in reports, with spaces in place of underscores."""
    return role.label.replace("_", " ")


class FailoverSnapshot:
    """The replicated state of the zones and routers, read once."""

    def __init__(self, file: str) -> None:
        failover_state = run_with_client(
            lambda reactor, client: client.read("zones", None, CLI_REQUEST_TIMEOUT_S),
            read_group_settings(file),
        )
        if not failover_state:
            raise output.WrongData("failover: the voters run an older version without zones; upgrade them")
        self.zones = msgspec.convert(failover_state["zones"], dict[str, Zone])
        self.plan = msgspec.convert(failover_state["order"], RoutingPlan)
        self.router_health = msgspec.convert(failover_state["sources"], dict[str, RouterHealth])
        self.overrides = msgspec.convert(failover_state["wishes"], dict[str, ActiveOverride])

    def require_zone(self, zone: str) -> Zone:
        """Return a zone. Raises WrongInput if the zone is not defined."""
        if zone not in self.zones:
            defined = ", ".join(sorted(self.zones)) or "none"
            raise output.WrongInput(f"failover: the zone {zone!r} is not defined; defined zones: {defined}")
        return self.zones[zone]

    def routers_in(self, zone: str) -> list[str]:
        """Return the names of the routers in a zone, sorted."""
        return sorted(name for name, each in self.router_health.items() if each.zone == zone)

    def offered_rate(self, zone: str) -> float:
        """Return the requests per second that arrive at the routers of a zone."""
        return sum(each.offered for each in self.router_health.values() if each.zone == zone)


def propose(file: str, part: str, command: Any) -> None:
    """Have the group apply a command. Raises WrongData if the group rejects the command."""
    reply = run_with_client(
        lambda reactor, client: client.propose(part, command, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    command_reply = msgspec.convert(reply, CommandReply)
    if not command_reply.accepted:
        raise output.WrongData(f"failover: the group rejected the change: {command_reply.reason}")


@group.command()
@FILE
@ZONE
@click.option("--region", default="", help="Region of the zone; zones of a region are near each other.")
@click.option(
    "--carries",
    type=click.FloatRange(min=0, min_open=True),
    required=True,
    help="Capacity in requests per second.",
)
@click.option(
    "--far",
    multiple=True,
    metavar="ZONE=MS",
    help="Round-trip time to another zone in ms; repeatable.",
)
def define(file: str, zone: str, region: str, carries: float, far: tuple[str, ...]) -> None:
    """Define ZONE or change its settings. Also define the job `zones` if the job does not exist."""
    round_trips = {}
    for each in far:
        name, _, milliseconds = each.partition("=")
        try:
            round_trips[name] = round(float(milliseconds) * 1_000)
        except ValueError:
            round_trips[name] = -1
        if not name or not 0 <= round_trips[name] <= 10 * SECOND:
            raise output.WrongInput(
                f"failover define: --far {each}: write ZONE=MS with at most 10,000 ms, such as maribor=12.5"
            )
    leases = run_with_client(
        lambda reactor, client: client.read("owners", None, CLI_REQUEST_TIMEOUT_S), read_group_settings(file)
    )
    if JOB not in msgspec.convert(leases["jobs"], dict[str, Job]):
        propose(file, "owners", DefineJob(JOB))
    propose(file, "zones", DefineZone(zone, region, carries, round_trips))


@group.command()
@FILE
@ZONE
def drop(file: str, zone: str) -> None:
    """Remove ZONE."""
    propose(file, "zones", DropZone(zone))


@group.command()
@FILE
@AS_JSON
def status(file: str, as_json: bool) -> None:
    """List the zones with their roles and load.

    Columns: role (duty), arriving requests per second (offered), known capacity (carries), requests per
    second that other zones may send (guests), fraction of arrivals to reject (deferred), number of routers,
    oldest routing plan that a router uses (oldest_order).
    """
    state = FailoverSnapshot(file)
    rows = [
        [
            name,
            each.region,
            role_text(state.plan.role(name)),
            round(state.offered_rate(name), 1),
            round(each.capacity, 1),
            round(state.plan.spillover.get(name, 0.0), 1),
            round(state.plan.shed.get(name, 0.0), 2),
            len(state.routers_in(name)),
            min(
                (state.router_health[router].plan_version for router in state.routers_in(name)),
                default="",
            ),
        ]
        for name, each in sorted(state.zones.items())
    ]
    head = ["zone", "region", "duty", "offered", "carries", "guests", "deferred", "routers", "oldest_order"]
    output.table(head, rows, as_json)
    if not as_json:
        click.echo(f"\nrouting plan {state.plan.version}: {state.plan.reason or 'no plan was published yet'}")


@group.command()
@FILE
@AS_JSON
def history(file: str, as_json: bool) -> None:
    """List the earlier routing plans, the newest last.

    Columns: version of the plan (number), roles of the zones (duties), requests per second that other zones
    may send to each zone (guests), reason for the plan (why).
    """
    plans = run_with_client(
        lambda reactor, client: client.read("zones", HISTORY_QUERY, CLI_REQUEST_TIMEOUT_S),
        read_group_settings(file),
    )
    rows = [
        [
            each.version,
            ", ".join(f"{zone} {ZoneRole(role).label}" for zone, role in sorted(each.roles.items())),
            ", ".join(f"{zone} {rate:g}" for zone, rate in sorted(each.spillover.items())),
            each.reason,
        ]
        for each in msgspec.convert(plans or [], list[RoutingPlan])
    ]
    output.table(["number", "duties", "guests", "why"], rows, as_json)


def override_role(file: str, zone: str, role: ZoneRole, seconds: float | None, dry_run: bool) -> None:
    """Print the effect of an override, then set the override unless this is a dry run."""
    state = FailoverSnapshot(file)
    state.require_zone(zone)
    plan = preview_override(state.zones, state.plan, state.router_health, state.overrides, zone, role)
    arriving = state.offered_rate(zone)
    spillover = sum(rate for name, rate in plan.spillover.items() if name != zone)
    click.echo(f"{zone}: {role_text(role)}; {arriving:.1f} requests per second arrive there")
    if role in (ZoneRole.DRAINING, ZoneRole.FENCED):
        click.echo(
            f"the other zones can take {spillover:.1f} requests per second; "
            f"{plan.shed.get(zone, 0.0):.0%} of the arrivals would be rejected"
        )
    if not dry_run:
        propose(file, "zones", OperatorOverride(zone, role, round((seconds or 0) * SECOND)))


@group.command()
@FILE
@ZONE
@DURATION
@DRY_RUN
def drain(file: str, zone: str, seconds: float | None, dry_run: bool) -> None:
    """Send requests that arrive in ZONE to other zones, as far as these have capacity.

    The override lasts until `failover open`, or as long as --for says.
    """
    override_role(file, zone, ZoneRole.DRAINING, seconds, dry_run)


@group.command()
@FILE
@ZONE
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(min=1, max=86_400),
    required=True,
    help="Duration in seconds.",
)
@DRY_RUN
def drill(file: str, zone: str, seconds: float, dry_run: bool) -> None:
    """Drain ZONE for a limited time.

    The fleet's failover controller ends the drill, also if this terminal is closed.
    """
    override_role(file, zone, ZoneRole.DRAINING, seconds, dry_run)


@group.command()
@FILE
@ZONE
@DURATION
@DRY_RUN
def fence(file: str, zone: str, seconds: float | None, dry_run: bool) -> None:
    """Send no requests to ZONE."""
    override_role(file, zone, ZoneRole.FENCED, seconds, dry_run)


@group.command("open")
@FILE
@ZONE
def open_zone(file: str, zone: str) -> None:
    """Remove the override of ZONE, so that the role of ZONE follows from its health again."""
    FailoverSnapshot(file).require_zone(zone)
    propose(file, "zones", ClearOverride(zone))


@group.command()
@FILE
@ZONE
def explain(file: str, zone: str) -> None:
    """Show the role of ZONE, and why ZONE has this role."""
    state = FailoverSnapshot(file)
    definition = state.require_zone(zone)
    click.echo(f"{zone}: {role_text(state.plan.role(zone))} by routing plan {state.plan.version}")
    click.echo(
        f"known capacity: {definition.capacity:.1f} requests per second; "
        f"{state.offered_rate(zone):.1f} arrive"
    )
    if zone in state.overrides:
        override = state.overrides[zone]
        until = f", for {override.duration / SECOND:g} s since it was set" if override.duration else ""
        click.echo(f"operator's override: {ZoneRole(override.role).label}{until}")
    routers = state.routers_in(zone)
    outdated = [name for name in routers if state.router_health[name].plan_version < state.plan.version]
    click.echo(f"routers: {', '.join(routers) or 'none has reported'}")
    if outdated:
        click.echo(f"routers whose last report was of an older routing plan: {', '.join(outdated)}")
    click.echo(f"reason for the plan: {state.plan.reason or 'no plan was published yet'}")
