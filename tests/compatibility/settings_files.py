"""Loaders of the operators' files in the current tree: the one place of these tests that names them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from lichencleat.capacity.target import read_target
from lichencleat.config.loading import read_node_config
from lichencleat.config_distribution.file import read_relay_file
from lichencleat.coordinator.settings import read_quorum_settings
from lichencleat.membership.program import read_membership_config
from lichencleat.router.file import read_router

LOADERS: dict[str, Callable[[str], Any]] = {
    "node": read_node_config,
    "quorum": read_quorum_settings,
    "relay": read_relay_file,
    "router": lambda path: read_router(path)[0],
    "members": read_membership_config,
    "target": read_target,
}


def decoded(kind: str, path: str) -> Any:
    """What the loader makes of the file, by the names of its keys, defaults included."""
    return msgspec.to_builtins(LOADERS[kind](path))
