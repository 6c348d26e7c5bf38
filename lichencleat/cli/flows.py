"""`lichencleat flows`: a small collector for testing flow export."""

from __future__ import annotations

import json
import sys
from dataclasses import asdict

import click

from lichencleat.cli import output
from lichencleat.flows.collector import Collector
from lichencleat.flows.elements import EXAMPLE_ENTERPRISE, Elements

HEAD = ["tenant", "records", "octets", "packets", "honoured", "deferred", "given_up", "abandoned", "folded"]
PORTS = click.IntRange(0, 65_535)


@click.group("flows", no_args_is_help=True)
def group() -> None:
    """Flow export: a collector that adds up the traffic of each tenant."""


@group.command()
@click.option("--host", default="127.0.0.1", show_default=True, help="Address to listen on.")
@click.option("--udp", type=PORTS, help="Port for IPFIX and NetFlow v9 over UDP; 0: any free port.")
@click.option("--tcp", type=PORTS, help="Port for IPFIX over TCP; 0: any free port.")
@click.option(
    "--seconds",
    type=click.FloatRange(min=0.01),
    help="Seconds to listen; default: until SIGINT.",
)
@click.option(
    "--enterprise", type=click.IntRange(1, 0xFFFFFFFF), default=EXAMPLE_ENTERPRISE, show_default=True
)
@click.option("--json", "as_json", is_flag=True, help="JSON instead of a table.")
def collect(
    host: str, udp: int | None, tcp: int | None, seconds: float | None, enterprise: int, as_json: bool
) -> None:
    """Listen for flow records. At the end, print the sums of each tenant and the counters of errors."""
    from twisted.internet import reactor
    from twisted.internet.error import CannotListenError

    if udp is None and tcp is None:
        raise output.WrongInput("flows collect: nothing to listen on; give --udp PORT, --tcp PORT or both")
    collector = Collector(Elements(enterprise))
    try:
        collector.listen(reactor, host, udp, tcp)
    except CannotListenError as error:
        raise output.WrongInput(f"flows collect: {error}; choose a free port") from error
    listening_ports = [f"{type(each).__name__.lower()} {each.getHost().port}" for each in collector.ports]
    click.echo(f"listening on {host}: {', '.join(listening_ports)}", err=True)
    sys.stderr.flush()
    if seconds is not None:
        reactor.callLater(seconds, reactor.stop)
    reactor.addSystemEventTrigger("before", "shutdown", collector.stop)
    reactor.run()
    rows = [
        [tenant or "(none)", *(asdict(each)[name] for name in HEAD[1:])]
        for tenant, each in tenants_by_traffic(collector)
    ]
    counters = collector.counters()
    if as_json:
        sums = [dict(zip(HEAD, row, strict=True)) for row in rows]
        exporters = [
            {"version": version, "domain": domain, **values}
            for (version, domain), values in collector.sums.exporters.items()
        ]
        click.echo(json.dumps({"tenants": sums, "exporters": exporters, "counters": counters}))
        return
    output.table(HEAD, rows, False)
    click.echo()
    output.pairs(counters, False)


def tenants_by_traffic(collector: Collector) -> list:
    """Return the tenants and their sums, by octets in descending order, then by name."""
    return sorted(collector.sums.by_tenant.items(), key=lambda each: (-each[1].octets, each[0]))
