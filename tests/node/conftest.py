"""Fixtures of the node's parts."""

import random

import pytest
from net_parts import ID, SECOND, Reactor, Transport

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.types import Effect, NodeSpec, Request, RequestClass
from lichencleat.node.catalogue import Catalogue
from lichencleat.node.deadlines import Deadlines
from lichencleat.node.dispatchers import Connection, DispatcherListener
from lichencleat.node.host import RequestEngine
from lichencleat.node.interpreter import Interpreter, Link, Run
from lichencleat.node.pending_request import PendingRequest
from lichencleat.node.report import Report


@pytest.fixture
def reactor():
    return Reactor()


@pytest.fixture
def report(reactor):
    return Report("n1", lambda: int(reactor.seconds() * SECOND))


@pytest.fixture
def deadlines(reactor, report):
    return Deadlines(reactor, report.log_exception)


@pytest.fixture
def request_class():
    return RequestClass("look", latency_objective=2 * SECOND, deadline=5 * SECOND)


@pytest.fixture
def keyed_class():
    return RequestClass(
        "save", Effect.KEYED, latency_objective=2 * SECOND, deadline=5 * SECOND, window=9 * SECOND
    )


@pytest.fixture
def engine(reactor, deadlines, report, request_class, keyed_class):
    machine = NodeSpec(cores=2, memory_kb=10_000.0, request_classes=[request_class, keyed_class])
    made = RequestEngine(
        machine,
        [],
        "5",
        lambda: int(reactor.seconds() * SECOND),
        deadlines,
        Interpreter(reactor, ("", 0), deadlines, report),
        Catalogue(reactor, ("", 0), deadlines, report),
        report,
    )
    made.node = AdmissionController(machine, random.Random(1))
    return made


@pytest.fixture
def answers():
    return []


@pytest.fixture
def pending(engine, request_class, answers):
    made = PendingRequest(
        Request(request_class, 0, 5 * SECOND), ID, b"x", b"", lambda *answer: answers.append(answer[0])
    )
    made.request.number = engine.pending_requests.acquire(made)
    return made


@pytest.fixture
def connection(engine, deadlines, report):
    made = Connection(DispatcherListener(engine, deadlines, report, 100))
    made.makeConnection(Transport())
    return made


@pytest.fixture
def link(reactor, deadlines, report):
    made = Link(Interpreter(reactor, ("", 0), deadlines, report))
    made.interpreter.link = made
    made.makeConnection(Transport())
    made.transport.clear()
    made.ready = True
    return made


@pytest.fixture
def run():
    received = []
    made = Run(ID, lambda *what: received.append(what), lambda *what: received.append(what))
    return made, received


@pytest.fixture
def catalogue(reactor, deadlines, report):
    return Catalogue(reactor, ("", 0), deadlines, report)


@pytest.fixture
def place(reactor, catalogue):
    def place(used_links=(), connected=True):
        known = len(catalogue.links)
        call, received = catalogue.fetch(ID, SECOND, b"x", list(used_links)), []
        call.ended.addCallback(received.append)
        if connected and len(catalogue.links) > known:
            call.link.makeConnection(Transport())
        return call, received

    return place
