"""A configuration with an odd value in any place yields a one-line error or a node that can decide."""

import copy
import json
import random

import pytest
from standins import SETTINGS

from lichencleat.admission.controller import AdmissionController
from lichencleat.admission.node_spec import InvalidInputError, decode_node_spec
from lichencleat.admission.types import Request, ResourceUsage
from lichencleat.node.config import read_start_settings

ODD_VALUES = [
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
OPTIONAL_SPECIFICS = {
    "callers": 5,
    "callsOut": 0.3,
    "depWindow": 5.0,
    "callerIdle": 30,
    "fresh": 0.0,
    "cold": True,
}
CONFIG = {
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
        "specifics": {**SETTINGS["specifics"], **OPTIONAL_SPECIFICS},
    },
}


def iterate_paths(part, path=()):
    for key in part if isinstance(part, dict) else range(len(part)):
        yield (*path, key)
        if isinstance(part[key], dict | list):
            yield from iterate_paths(part[key], (*path, key))


def run_decision_rounds(config):
    node, now = AdmissionController(config.machine, random.Random(1)), 1_000_000_000
    for _ in range(3):
        request_class = config.machine.request_classes[0]
        node.on_request(
            now, Request(request_class, now, now + request_class.deadline, size_kb=20.0, tenant="a")
        )
        node.on_timer(now, ResourceUsage())
        while node.next_decision(now) is not None:
            pass
        now += node.timing.period


@pytest.mark.parametrize("path", list(iterate_paths(CONFIG)), ids=lambda path: ".".join(map(str, path)))
def test_config_with_odd_value_raises_one_line_or_node_decides(tmp_path, path):
    config_file = tmp_path / "config.json"
    for odd in ODD_VALUES:
        config = copy.deepcopy(CONFIG)
        within = config
        for key in path[:-1]:
            within = within[key]
        within[path[-1]] = odd
        config_file.write_text(json.dumps(config))
        try:
            read = read_start_settings({"BALANCER_CONFIG": str(config_file)})
        except InvalidInputError as bad:
            assert str(bad).startswith("BALANCER_CONFIG: ") and "\n" not in str(bad) and len(str(bad)) < 300
        else:
            run_decision_rounds(read)


def test_config_is_read_unchanged(tmp_path):
    config_file = tmp_path / "config.json"
    config_file.write_text(json.dumps(CONFIG))
    read = read_start_settings({"BALANCER_CONFIG": str(config_file)})
    assert read.seed == str(2**70) and read.memory == 96 << 20 and read.machine.callers == 5


def test_node_spec_tenant_quota_is_equal_part_for_each_server():
    spec = decode_node_spec(CONFIG["settings"])
    assert spec.tenant_quotas == {"a": 2.0} and spec.over_quota_value_share == 0.05
    bare = copy.deepcopy(CONFIG)
    for key in ("servers", "overShareWorth", "orgs"):
        del bare["settings"][key]
    spec = decode_node_spec(bare["settings"])
    assert spec.tenant_quotas == {} and spec.over_quota_value_share == 1.0
