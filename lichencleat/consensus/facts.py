"""A part of the state: small facts by name, each with the index of the entry that set it; no I/O."""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.decode_errors import UNDECODABLE

FACTS_MOST = 65_536  # of them
VALUE_MOST = 65_536  # bytes of one: a snapshot holds them all


class Set(msgspec.Struct, frozen=True, array_like=True, tag_field="do", tag="set"):
    name: str
    value: bytes | None  # None: the fact goes
    only_if: int | None = None  # the revision that it must have; 0: it must not be there


class Fact(msgspec.Struct, frozen=True, array_like=True):
    value: bytes
    revision: int  # index of the entry that set it


class Changed(msgspec.Struct, frozen=True, array_like=True):
    """The answer: whether it was done, and the fact's revision now, 0 where there is none."""

    done: bool
    revision: int
    why: str = ""


decode_set = msgspec.msgpack.Decoder(Set).decode
decode_facts = msgspec.msgpack.Decoder(dict[str, Fact]).decode


class Facts:
    def __init__(self) -> None:
        self.facts: dict[str, Fact] = {}

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        try:
            wanted = decode_set(command)
        except UNDECODABLE:
            return Changed(False, 0, "no command")
        known = self.facts.get(wanted.name)
        revision = known.revision if known else 0
        if wanted.only_if is not None and wanted.only_if != revision:
            return Changed(False, revision, "another revision")
        if wanted.value is None:
            self.facts.pop(wanted.name, None)
            return Changed(True, 0)
        if len(wanted.value) > VALUE_MOST or (known is None and len(self.facts) >= FACTS_MOST):
            return Changed(False, revision, "over the bound")
        self.facts[wanted.name] = Fact(wanted.value, index)
        return Changed(True, index)

    def read(self, query: Any) -> Fact | None:
        return self.facts.get(query)

    def dump(self) -> Any:
        return self.facts

    def load(self, dumped: msgspec.Raw) -> None:
        self.facts = decode_facts(dumped)
