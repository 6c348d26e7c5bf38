"""The operators' file: its form, its defaults, and mistakes told with their place."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import msgspec
import yaml
from msgspec import Meta, Struct

VARIABLE = "LICHENCLEAT_FILE"  # of the environment: where a node finds the file
SIZE_MOST = 1 << 20  # bytes: a file of settings has some kilobytes
SOURCES_MOST, TIERS_MOST = 32, 8  # addresses of relays in all, and lots of them from near to far
PART = re.compile(r"\.([^.\[]+)|\[(\d+)\]|\[\.\.\.\]")  # of a path as msgspec says it

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Address = Annotated[str, Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class WrongFileError(Exception):
    """One line: file, line, path, what is wrong and what would be right."""


def host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class CollectorChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """One collector."""

    address: Address
    wire: Literal["ipfix-udp", "ipfix-tcp", "netflow9-udp"] = "ipfix-udp"
    name: Name | None = None

    def host_port(self) -> tuple[str, int]:
        return host_port(self.address)


class FlowsChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """Flow export. Absent: it is off."""

    collectors: Annotated[list[CollectorChoice], Meta(min_length=1, max_length=8)]
    enterprise: Annotated[int, Meta(ge=1, le=0xFFFFFFFF)] = 32_473
    domain: Annotated[int, Meta(ge=0, le=0xFFFFFFFF)] = 1
    to: Literal["all", "first that lives"] = "all"
    active_s: Seconds = 60.0
    idle_s: Seconds = 15.0
    waiting: Annotated[int, Meta(ge=1, le=1_000_000)] = 10_000
    message_bytes: Annotated[int, Meta(ge=512, le=65_000)] = 1_400
    flush_s: Annotated[float, Meta(ge=0, le=60)] = 0.2
    links: bool = False  # meter the links to the interpreter and calls below, too


class SharesChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """A part of the dependency that this node's calls go to, dealt out by the fleet."""

    pool: Name
    floor: Annotated[int, Meta(ge=0, le=1_000_000)] = 0  # both as the pool was defined with
    term_s: Annotated[float, Meta(ge=0.3, le=600)] = 5.0


class FleetChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """This node among others that agree through a group of voters. Absent: it stands alone."""

    group: Name
    members: Annotated[list[Address], Meta(min_length=1, max_length=64)]  # where the voters are looked for
    zone: str = ""
    candidate: bool = False  # it may own jobs of the fleet
    shares: SharesChoice | None = None
    revive: bool = False  # it takes part in the fleet's return after a power loss


Tier = Annotated[list[Address], Meta(min_length=1, max_length=SOURCES_MOST)]
Sources = Annotated[list[Tier], Meta(min_length=1, max_length=TIERS_MOST)]


class DistributionChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """The fleet's configuration, from the relays of its zone. Absent: it has none but its own files."""

    group: Name  # of the voters for configuration
    sources: Sources  # nearest first
    zone: str = ""
    directory: Annotated[str, Meta(min_length=1)] | None = None  # its last version is kept there
    tenants: bool = False  # which tenants there are: the table's word, not the settings'


class KeyedChoice(Struct, forbid_unknown_fields=True, frozen=True):
    """Receipts and results that outlive a restart. Absent: they end with the process."""

    directory: Annotated[str, Meta(min_length=1)]  # of this node alone, on a disk that lasts
    entries: Annotated[int, Meta(ge=100, le=10_000_000)] = 100_000  # keys in their windows
    disk_mb: Annotated[float, Meta(ge=32, le=1_000_000)] = 256.0
    disk: Literal["real", "held back"] = "real"  # held back: for tests, a kill loses what was not flushed


class LogChoice(Struct, forbid_unknown_fields=True, frozen=True):
    form: Literal["logfmt", "json"] = "logfmt"


class Chosen(Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    flows: FlowsChoice | None = None
    keyed: KeyedChoice | None = None
    fleet: FleetChoice | None = None
    distribution: DistributionChoice | None = None
    log: LogChoice | None = None  # absent: the node's plain lines


@dataclass(frozen=True, slots=True)
class Shown:
    """One value in force, and where it comes from."""

    path: str
    value: Any
    origin: str  # "line N" of the file, or "default"


class Place:
    """The file's nodes with their lines, so that a path can be told as one."""

    def __init__(self, root: yaml.Node | None) -> None:
        self.root = root

    def line(self, path: str) -> int | None:
        """The line, from 1, of what the path leads to, or of the nearest thing on the way; None for the file
        itself.
        """
        node, line = self.root, None
        for key, number in PART.findall(path):
            if isinstance(node, yaml.MappingNode) and key:
                found = next(((k, v) for k, v in node.value if k.value == key), None)
                if found is None:
                    break
                line, node = found[0].start_mark.line + 1, found[1]
            elif isinstance(node, yaml.SequenceNode) and number and int(number) < len(node.value):
                node = node.value[int(number)]
                line = node.start_mark.line + 1
            else:
                break
        return line

    def key_line(self, path: str, key: str) -> int | None:
        return self.line(f"{path}.{key}")


def read_file(path: str) -> Chosen:
    """Raises WrongFileError; then nothing of the file is used."""
    return read_text(path, load(path))[0]


def load(path: str) -> str:
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(SIZE_MOST + 1)
    except (OSError, UnicodeDecodeError) as wrong:
        said = wrong.strerror if isinstance(wrong, OSError) else "is no UTF-8 text"
        raise WrongFileError(f"{path}: {said}; name a YAML file that can be read") from wrong
    if len(text) > SIZE_MOST:
        raise WrongFileError(f"{path}: longer than {SIZE_MOST} characters; settings take a few thousand")
    return text


def read_text(path: str, text: str) -> tuple[Chosen, Place]:
    chosen, place = read_as(path, text, Chosen)
    sense(path, place, chosen)
    return chosen, place


def read_as(path: str, text: str, kind: type[Any]) -> tuple[Any, Place]:
    """The text as a struct of that kind. Raises WrongFileError, with the line."""
    try:
        place = Place(yaml.compose(text, Loader=yaml.SafeLoader))
        twice(path, place.root)
        raw = yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as wrong:
        mark = getattr(wrong, "problem_mark", None)
        line = f", line {mark.line + 1}" if mark else ""
        what = getattr(wrong, "problem", None) or "can't be read"
        raise WrongFileError(f"{path}{line}: not YAML: {what}; mend it there") from wrong
    try:
        return msgspec.convert({} if raw is None else raw, kind, strict=True), place
    except msgspec.ValidationError as wrong:
        raise WrongFileError(mistake(path, place, str(wrong), kind)) from wrong


def twice(path: str, root: yaml.Node | None) -> None:
    """YAML takes the last of two equal keys in silence: here that is a mistake."""
    waiting = [root]
    while waiting:
        node = waiting.pop()
        if isinstance(node, yaml.MappingNode):
            seen: set[str] = set()
            for key, value in node.value:
                if key.value in seen:
                    line = key.start_mark.line + 1
                    raise WrongFileError(f"{path}, line {line}: {key.value!r} stands twice; leave one out")
                seen.add(key.value)
                waiting.append(value)
        elif isinstance(node, yaml.SequenceNode):
            waiting += node.value


def mistake(path: str, place: Place, said: str, root: type[Any]) -> str:
    """msgspec's words, with the line; and for an unknown key, those that there are."""
    what, _, where = said.partition(" - at `")
    where = where.rstrip("`") or "$"
    unknown = re.search(r"unknown field `(.+)`", what)
    if unknown:
        line = place.key_line(where, unknown[1])
        known = ", ".join(sorted(fields_at(where, root)))
        what = f"unknown key {unknown[1]!r}; known here: {known}"
    else:
        line = place.line(where)
    at = f", line {line}" if line else ""
    return f"{path}{at}: {where.removeprefix('$').lstrip('.') or 'the file'}: {what}"


def fields_at(where: str, root: type[Any]) -> list[str]:
    """The keys that the struct at that path has."""
    kind = root
    for key, _ in PART.findall(where):
        if key:
            named = next(each.type for each in msgspec.structs.fields(kind) if each.name == key)
            kind = struct_in(named) or kind
    return [each.name for each in msgspec.structs.fields(kind)]


def struct_in(kind: Any) -> type[Struct] | None:
    """The struct that stands in a type: as it is, or none, or in a list, or by names in a table."""
    if isinstance(kind, type) and issubclass(kind, Struct):
        return kind
    return next((found for each in getattr(kind, "__args__", ()) if (found := struct_in(each))), None)


def sense(path: str, place: Place, chosen: Chosen) -> None:
    """Values that are each in their form and do not fit together."""
    if chosen.distribution is not None:
        check_sources(path, place, chosen.distribution.sources)
    flows = chosen.flows
    if flows is None:
        return
    if flows.idle_s > flows.active_s:
        line = place.line("$.flows.idle_s") or place.line("$.flows.active_s")
        raise WrongFileError(
            f"{path}, line {line}: flows.idle_s: {flows.idle_s:g} is over active_s ({flows.active_s:g}); "
            "a quiet flow has to be told before an open one, so make it smaller"
        )
    for at, each in enumerate(flows.collectors):
        check_address(path, place, f"flows.collectors[{at}].address", each.address, "192.0.2.7:4739")


def check_address(path: str, place: Place, where: str, address: str, example: str) -> None:
    """Raises WrongFileError where it has the form of an address and is none."""
    host, port = host_port(address)
    octets = host.split(".") if "." in host else []
    if not 0 < port <= 65_535 or any(int(octet) > 255 for octet in octets):
        raise WrongFileError(
            f"{path}, line {place.line('$.' + where)}: {where}: {address} is none; "
            f"write it as {example} (names are not looked up)"
        )


def check_sources(path: str, place: Place, sources: list[list[str]], listen: str = "") -> None:
    """`distribution.sources`. Raises WrongFileError. `listen`: of the process itself, which is no source."""
    seen = {listen}
    for tier, addresses in enumerate(sources):
        for at, each in enumerate(addresses):
            where = f"distribution.sources[{tier}][{at}]"
            check_address(path, place, where, each, "192.0.2.7:7901")
            if each in seen:
                what = "is this process itself" if each == listen else "stands twice"
                line = place.line("$." + where)
                raise WrongFileError(f"{path}, line {line}: {where}: {each} {what}; leave it out")
            seen.add(each)
    if len(seen) - 1 > SOURCES_MOST:
        line = place.line("$.distribution.sources")
        raise WrongFileError(
            f"{path}, line {line}: distribution.sources: {len(seen) - 1} addresses; {SOURCES_MOST} at the "
            "most, and two of a tier are enough"
        )


def show(path: str) -> list[Shown]:
    """Every value in force, defaults included. Raises WrongFileError."""
    chosen, place = read_text(path, load(path))
    rows: list[Shown] = []

    def walk(value: Any, where: str) -> None:
        if isinstance(value, Struct):
            for name in value.__struct_fields__:
                walk(getattr(value, name), f"{where}.{name}")
        elif isinstance(value, list):
            for at, each in enumerate(value):
                walk(each, f"{where}[{at}]")
        else:
            stated = place.line(where) if has(place.root, where) else None
            rows.append(Shown(where[2:], value, f"line {stated}" if stated else "default"))

    walk(chosen, "$")
    return rows


def has(node: yaml.Node | None, where: str) -> bool:
    """Does the file say that value itself?"""
    for key, number in PART.findall(where):
        if isinstance(node, yaml.MappingNode) and key:
            node = next((value for name, value in node.value if name.value == key), None)
        elif isinstance(node, yaml.SequenceNode) and number and int(number) < len(node.value):
            node = node.value[int(number)]
        else:
            return False
        if node is None:
            return False
    return True
