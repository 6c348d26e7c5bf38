"""Whatever a configuration says in any place: one clear line, or a node that can decide."""

import copy
import json
import random

import pytest
from standins import SETTINGS

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.node_spec import InvalidInputError, decode_node_spec
from lichencleat.admission.types import Request, ResourceUsage
from lichencleat.node.config import read_told

ODD = [
    None,
    "x",
    "",
    -1,
    0,
    1e308,
    -1e308,
    float("nan"),
    float("inf"),
    True,
    [],
    {},
    [1],
    {"a": 1},
    10**400,
    1e-320,
]
MORE = {"callers": 5, "callsOut": 0.3, "depWindow": 5.0, "callerIdle": 30, "fresh": 0.0, "cold": True}
TOLD = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "vm": "127.0.0.1:1",
    "members": "127.0.0.1:1",
    "catalog": "127.0.0.1:2",
    "seed": 2**70,
    "stop_ms": 1000,
    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
    "settings": {
        **SETTINGS,
        "orgs": [{"name": "a", "quotaPerS": 12.0, "portion": 1.0}],
        "servers": 6,
        "overShareWorth": 0.05,
        "specifics": {**SETTINGS["specifics"], **MORE},
    },
}


def places(part, way=()):
    for key in part if isinstance(part, dict) else range(len(part)):
        yield (*way, key)
        if isinstance(part[key], dict | list):
            yield from places(part[key], (*way, key))


def decides(told):
    node, now = AdmissionController(told.machine, random.Random(1)), 1_000_000_000
    for _ in range(3):
        request_class = told.machine.request_classes[0]
        node.on_request(
            now, Request(request_class, now, now + request_class.deadline, size_kb=20.0, tenant="a")
        )
        node.on_timer(now, ResourceUsage())
        while node.next_decision(now) is not None:
            pass
        now += node.timing.period


@pytest.mark.parametrize("way", list(places(TOLD)), ids=lambda way: ".".join(map(str, way)))
def test_an_odd_value_in_any_place_is_one_clear_line_or_does_no_harm(tmp_path, way):
    config = tmp_path / "config.json"
    for odd in ODD:
        told = copy.deepcopy(TOLD)
        within = told
        for key in way[:-1]:
            within = within[key]
        within[way[-1]] = odd
        config.write_text(json.dumps(told))
        try:
            read = read_told({"BALANCER_CONFIG": str(config)})
        except InvalidInputError as bad:
            assert str(bad).startswith("BALANCER_CONFIG: ") and "\n" not in str(bad) and len(str(bad)) < 300
        else:
            decides(read)


def test_the_configuration_itself_is_taken_as_it_is(tmp_path):
    config = tmp_path / "config.json"
    config.write_text(json.dumps(TOLD))
    read = read_told({"BALANCER_CONFIG": str(config)})
    assert read.seed == str(2**70) and read.memory == 96 << 20 and read.machine.callers == 5


def test_a_tenant_s_share_is_this_node_s_equal_part_of_it():
    machine = decode_node_spec(TOLD["settings"])
    assert machine.tenant_quotas == {"a": 2.0} and machine.over_quota_value_share == 0.05
    bare = copy.deepcopy(TOLD)
    for key in ("servers", "overShareWorth", "orgs"):
        del bare["settings"][key]
    machine = decode_node_spec(bare["settings"])
    assert machine.tenant_quotas == {} and machine.over_quota_value_share == 1.0
