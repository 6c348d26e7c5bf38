"""A fake request engine, and a log that keeps its events."""

from types import SimpleNamespace

from service_time_cases import REQUEST_CLASSES

from lichencleat.admission.types import NodeSpec
from lichencleat.node.host import RequestEngine


class RecordingLog:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append((event, fields))


def make_host():
    """Return a host whose interpreter is not up yet."""
    machine = NodeSpec(cores=2, request_classes=REQUEST_CLASSES)
    host = SimpleNamespace(
        machine=machine, node=None, request_classes={t.name.encode(): t for t in REQUEST_CLASSES}
    )
    host.clock = lambda: 0
    host.allowances = []
    host.set_allowance = lambda *allowance: host.allowances.append(allowance)
    host.ready = lambda: host.node is not None
    host.load = lambda: 0.0
    host.speed = lambda: RequestEngine.speed(host)
    return host
