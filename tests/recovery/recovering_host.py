"""A stand-in for the request engine, and a log that records."""

from types import SimpleNamespace

from service_time_cases import REQUEST_CLASSES

from lichencleat.admission.types import NodeSpec
from lichencleat.node.host import Host


class RecordingLog:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append((event, fields))


def make_host():
    """A host whose interpreter is not up yet."""
    machine = NodeSpec(cores=2, request_classes=REQUEST_CLASSES)
    made = SimpleNamespace(
        machine=machine, node=None, request_classes={t.name.encode(): t for t in REQUEST_CLASSES}
    )
    made.clock = lambda: 0
    made.told = []
    made.may_serve = lambda *what: made.told.append(what)
    made.ready = lambda: made.node is not None
    made.strain = lambda: 0.0
    made.speed = lambda: Host.speed(made)
    return made
