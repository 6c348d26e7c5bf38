"""Lists the effective settings of a file, each with its origin: a line of the file, or the default."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from msgspec import Struct

from lichencleat.config.loading import parse_node_config, read_config_text


@dataclass(frozen=True, slots=True)
class Setting:
    """The effective value of one setting and where the value comes from."""

    path: str
    value: object
    origin: str  # "line N" of the file, or "default"


def list_settings(path: str) -> list[Setting]:
    """Returns the effective settings of the file at `path`, defaults included.

    Raises:
        InvalidConfigError: the file can't be read or contains a mistake.
    """
    config, document = parse_node_config(path, read_config_text(path))
    settings = []
    for setting, value in _walk_values(config, "$"):
        line = document.line_of(setting) if document.has_value(setting) else None
        settings.append(Setting(setting.removeprefix("$."), value, f"line {line}" if line else "default"))
    return settings


def _walk_values(value: object, path: str) -> Iterator[tuple[str, object]]:
    """Yields path and value of each setting within `value`, a struct, a list or a single value at `path`."""
    if isinstance(value, Struct):
        for name in value.__struct_fields__:
            yield from _walk_values(getattr(value, name), f"{path}.{name}")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from _walk_values(item, f"{path}[{index}]")
    else:
        yield path, value
