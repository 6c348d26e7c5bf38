"""Writes the golden data of `tests/compatibility/data`, with the code of commit 3273848.

It was run once, by that commit's code, whose packages still had their former names; it cannot run in the
current tree and is kept so that the origin of each file can be checked:

    git clone . /tmp/base && git -C /tmp/base checkout 3273848
    PYTHONPATH=/tmp/base .venv/bin/python tests/compatibility/generate.py messages
    PYTHONPATH=/tmp/base .venv/bin/python tests/compatibility/generate.py directories
    PYTHONPATH=/tmp/base .venv/bin/python tests/compatibility/generate.py commands

Pytest does not collect it: its name does not begin with `test_`. Modules are imported by name, since the
type checker and the linter see the current tree only.
"""

from __future__ import annotations

import importlib
import inspect
import json
import sys
from enum import Enum, IntEnum
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec
from msgspec import inspect as types

DATA = Path(__file__).resolve().parent / "data"

MESSAGE_MODULES = (
    "quorum.wire",
    "quorum.terms",
    "quorum.sessions",
    "quorum.state",
    "quorum.seats",
    "quorum.facts",
    "quorum.journal",
    "keyed.records",
    "owners.terms",
    "owners.jobs",
    "shares.terms",
    "revive.boot",
    "revive.figures",
    "revive.terms",
    "revive.state",
    "zones.terms",
    "zones.state",
    "members.terms",
    "distribution.terms",
    "distribution.source",
    "distribution.kept",
)
CONSTANTS = {
    "quorum.wire": ("FORMAT", "FRAME_MOST"),
    "quorum.terms": ("NOBODY",),
    "quorum.journal": ("TOP", "SNAPSHOT", "ENTRY", "PIECE", "UNDER_WAY", "NO_PIECES"),
    "quorum.parts": ("USES", "BEFORE"),
    "quorum.process": ("LIFE",),
    "quorum.program": ("STOPPED", "WRONG", "LEFT"),
    "quorum.seats": ("IDENTITY",),
    "keyed.records": ("FORMAT", "ENTRY", "WHOSE", "SEEN", "MARK"),
    "shares.terms": ("RETURN",),
    "revive.boot": ("FORMAT",),
    "revive.figures": ("FORMAT",),
    "revive.seat": ("BOOT", "FIGURES"),
    "revive.terms": ("JOB",),
    "zones.terms": ("JOB",),
    "distribution.kept": ("FORMAT", "HEAD", "PAGE", "BATCH", "RECENT_MOST"),
    "distribution.program": ("STOPPED", "WRONG"),
    "distribution.terms": ("PAGES", "DIGEST", "FOLLOW", "DIGESTS", "PAGES_OF", "IN_FORCE", "FIND"),
    "distribution.voting": ("PART",),
    "store.checkpoint": ("NAME", "NEW"),
    "store.frames": (
        "FORMAT",
        "LOG_MAGIC",
        "POINT_MAGIC",
        "STORE_MAGIC",
        "MARKER",
        "BODY_BEGINS",
    ),
    "store.recovery": ("STORE", "STORE_NEW", "RESERVE"),
    "store.segments": ("NAME", "NEW"),
}
UNIONS = (
    "quorum.wire.Frame",
    "owners.terms.Command",
    "shares.terms.Command",
    "revive.terms.Command",
    "zones.terms.Command",
    "distribution.source.Query",
)
# values that each of these fields may take, so that an example stays one where the field becomes an enum's
ENUM_FIELDS = ("kind", "what", "state", "door", "duty", "say", "welcome", "duties")


def module(name: str) -> ModuleType:
    """The former module of that name."""
    return importlib.import_module("lichencleat." + name)


def plain(value: Any) -> Any:
    """The value as JSON can hold it: bytes as {"hex": ...}, sequences as lists."""
    if isinstance(value, bytes | bytearray):
        return {"hex": bytes(value).hex()}
    if isinstance(value, msgspec.Raw):
        return plain(msgspec.msgpack.decode(value))
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if isinstance(value, frozenset | set):
        return sorted(plain(each) for each in value)
    if isinstance(value, dict):
        return {key: plain(each) for key, each in value.items()}
    return value


def write_json(name: str, content: Any) -> None:
    """One of the golden files, in a form that a diff can show."""
    text = json.dumps(content, indent=1, ensure_ascii=False)
    (DATA / name).write_text(text + "\n", encoding="utf-8")


# -- messages --------------------------------------------------------------------------------------------


class Sampler:
    """Makes an example of any type, each value another one."""

    def __init__(self) -> None:
        self.count = 0

    def number(self, name: str) -> int:
        self.count += 1
        return 1 + self.count % 3 if name in ENUM_FIELDS else 1_000 * self.count + 7

    def value(self, type_: types.Type, name: str) -> Any:
        """An example of `type_`, for the field `name`."""
        match type_:
            case types.BoolType():
                return True
            case types.IntType():
                return self.number(name)
            case types.FloatType():
                return self.number(name) + 0.25
            case types.StrType():
                return f"{name}-{self.number('')}"
            case types.BytesType():
                return f"{name}:{self.number('')}".encode()
            case types.RawType() | types.AnyType():
                return msgspec.Raw(msgspec.msgpack.encode([name, self.number("")]))
            case types.UnionType():
                return self.value(next(t for t in type_.types if not isinstance(t, types.NoneType)), name)
            case types.ListType():
                return [self.value(type_.item_type, name) for _ in range(2)]
            case types.VarTupleType():
                return tuple(self.value(type_.item_type, name) for _ in range(2))
            case types.TupleType():
                return tuple(self.value(each, name) for each in type_.item_types)
            case types.DictType():
                keys = [self.value(type_.key_type, "key") for _ in range(2)]
                return {key: self.value(type_.value_type, name) for key in keys}
            case types.StructType():
                return self.struct(type_.cls)
        raise TypeError(type_)

    def struct(self, cls: type[msgspec.Struct], optional: bool = True) -> Any:
        """An example of a message; without `optional` only its required fields are given."""
        fields = types.type_info(cls).fields  # type: ignore[attr-defined]
        return cls(*(self.value(each.type, each.name) for each in fields if optional or each.required))


def struct_example(cls: type[msgspec.Struct], message: Any, what: str) -> dict[str, Any]:
    """What is recorded of one message."""
    data = msgspec.msgpack.encode(message)
    values = msgspec.msgpack.decode(data)
    if cls.__struct_config__.tag is not None:
        values = values[1:]
    return {"what": what, "hex": data.hex(), "values": plain(values)}


def encode_only_record(cls: type[msgspec.Struct]) -> dict[str, Any]:
    """Of a class that msgspec can't decode: its field `bytes` hides the type of that name."""
    message = cls(1007, 2007, b"digest:3007", 4007, 5007)
    return {
        "tag": cls.__struct_config__.tag,
        "fields_then": list(cls.__struct_fields__),
        "examples": [struct_example(cls, message, "all fields")],
        "shortest": None,
    }


def message_record(cls: type[msgspec.Struct]) -> dict[str, Any]:
    """Tag, names as they were, and examples of one class."""
    if cls.__name__ == "Standing":
        return encode_only_record(cls)
    sampler = Sampler()
    fields = types.type_info(cls).fields  # type: ignore[attr-defined]
    required = [each for each in fields if each.required]
    examples = [struct_example(cls, sampler.struct(cls), "all fields")]
    shortest = sampler.struct(cls, optional=False)
    if len(required) < len(fields):
        examples.append(struct_example(cls, shortest, "defaults"))
    if cls.__name__ == "Message" and "granted" in cls.__struct_fields__:
        for kind in module("quorum.terms").Kind:
            message = msgspec.structs.replace(sampler.struct(cls), kind=int(kind))
            examples.append(struct_example(cls, message, kind.name))
    if cls.__name__ == "Datagram":
        for kind in module("members.terms").Kind:
            message = msgspec.structs.replace(sampler.struct(cls), kind=int(kind))
            examples.append(struct_example(cls, message, kind.name))
    for name in (each.name for each in fields if isinstance(each.type, types.UnionType)):
        message = msgspec.structs.replace(sampler.struct(cls), **{name: None})
        examples.append(struct_example(cls, message, f"without {name}"))
    short = msgspec.msgpack.decode(msgspec.msgpack.encode(shortest))
    tagged = cls.__struct_config__.tag is not None
    if required or tagged:
        short = short[: len(required) + tagged]
    return {
        "tag": cls.__struct_config__.tag,
        "fields_then": list(cls.__struct_fields__),
        "examples": examples,
        # as a version would send it that ends after the last required field, and what that reads as
        "shortest": {
            "hex": msgspec.msgpack.encode(short).hex(),
            "full": msgspec.msgpack.encode(shortest).hex(),
        },
    }


def own(of: ModuleType, kind: type) -> list[Any]:
    """Classes of that kind that the module defines, in the order of their names."""
    found = (each for _, each in inspect.getmembers(of, inspect.isclass))
    return [each for each in found if issubclass(each, kind) and each.__module__ == of.__name__]


def generate_messages() -> None:
    """An example of each message and record, and every constant that is sent or stored."""
    messages, enums, constants = {}, {}, {}
    for name in MESSAGE_MODULES:
        of = module(name)
        for cls in own(of, msgspec.Struct):
            if cls.__struct_config__.array_like:
                messages[f"{name}.{cls.__name__}"] = message_record(cls)
        for enum in own(of, Enum):
            if issubclass(enum, IntEnum) or enum.__name__ == "Reason":
                enums[f"{name}.{enum.__name__}"] = [[each.name, each.value] for each in enum]
    for name, names in CONSTANTS.items():
        for each in names:
            constants[f"{name}.{each}"] = plain(getattr(module(name), each))
    constants["quorum.program.parts"] = list(module("quorum.program").parts())
    constants["quorum.program.distribution_parts"] = list(module("quorum.program").distribution_parts())
    constants["shares.terms.job_of"] = module("shares.terms").job_of("a pool")
    unions = {}
    for union in UNIONS:
        name, _, attribute = union.rpartition(".")
        members = getattr(module(name), attribute).__args__
        unions[union] = sorted(f"{each.__module__.partition('.')[2]}.{each.__name__}" for each in members)
    write_json("messages.json", messages)
    write_json("constants.json", {"enums": enums, "unions": unions, "constants": constants})


def main() -> None:
    """Runs the part that is named on the command line."""
    DATA.mkdir(exist_ok=True)
    {"messages": generate_messages}[sys.argv[1]]()


if __name__ == "__main__":
    main()
