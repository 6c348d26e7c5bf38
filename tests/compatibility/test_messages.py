"""Every message and record that commit 3273848 sends or stores is read, and written to the same bytes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from messages import CONSTANTS, ENUMS, MESSAGES, UNIONS
from msgspec.msgpack import Decoder, encode

DATA = Path(__file__).parent / "data"
GOLDEN_MESSAGES = json.loads((DATA / "messages.json").read_text(encoding="utf-8"))
GOLDEN_CONSTANTS = json.loads((DATA / "constants.json").read_text(encoding="utf-8"))
ENCODE_ONLY = {"distribution.source.Standing"}  # its field `bytes` hid the type: msgspec could not decode it

EXAMPLES = [
    pytest.param(name, example, id=f"{name}-{example['what'].replace(' ', '-')}")
    for name, record in GOLDEN_MESSAGES.items()
    for example in record["examples"]
]
DECODABLE = [each for each in EXAMPLES if each.values[0] not in ENCODE_ONLY]
SHORTEST = [
    pytest.param(name, record["shortest"], id=name)
    for name, record in GOLDEN_MESSAGES.items()
    if record["shortest"] is not None
]
UNION_MEMBERS = [
    pytest.param(union, name, id=f"{union}-{name}")
    for union, type_ in UNIONS.items()
    for name, cls in MESSAGES.items()
    if cls in type_.__args__
]


def from_plain(value: Any) -> Any:
    """The value that the generator wrote as JSON: {"hex": ...} was bytes."""
    if isinstance(value, list):
        return [from_plain(each) for each in value]
    if isinstance(value, dict):
        if value.keys() == {"hex"}:
            return bytes.fromhex(value["hex"])
        return {key: from_plain(each) for key, each in value.items()}
    return value


def to_plain(value: Any) -> Any:
    """The value as the generator wrote it."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, list | tuple):
        return [to_plain(each) for each in value]
    if isinstance(value, frozenset | set):
        return sorted(value)
    return value


def field_value(type_: Any, value: Any) -> Any:
    """The value as a field of that type holds it: raw bytes, nested messages, tuples, enum members."""
    return Decoder(type_).decode(encode(value))


def build(name: str, values: list[Any]) -> msgspec.Struct:
    """The message, its fields given by position alone."""
    cls = MESSAGES[name]
    if name in ENCODE_ONLY:
        return cls(*values)
    fields = msgspec.structs.fields(cls)
    assert len(fields) == len(values)
    return cls(*(field_value(field.type, value) for field, value in zip(fields, values, strict=True)))


def test_table_names_every_golden_message() -> None:
    assert MESSAGES.keys() == GOLDEN_MESSAGES.keys()
    assert ENUMS.keys() == GOLDEN_CONSTANTS["enums"].keys()
    assert CONSTANTS.keys() == GOLDEN_CONSTANTS["constants"].keys()


def test_table_names_each_class_once() -> None:
    assert len(set(MESSAGES.values())) == len(MESSAGES)


@pytest.mark.parametrize("name", GOLDEN_MESSAGES)
def test_message_keeps_its_tag(name: str) -> None:
    config = MESSAGES[name].__struct_config__
    assert config.array_like
    assert config.tag == GOLDEN_MESSAGES[name]["tag"]


@pytest.mark.parametrize("name", GOLDEN_MESSAGES)
def test_message_keeps_its_number_of_fields(name: str) -> None:
    assert len(MESSAGES[name].__struct_fields__) == len(GOLDEN_MESSAGES[name]["fields_then"])


@pytest.mark.parametrize(("name", "example"), DECODABLE)
def test_message_decodes_and_encodes_to_the_same_bytes(name: str, example: dict[str, Any]) -> None:
    data = bytes.fromhex(example["hex"])
    decoded = Decoder(MESSAGES[name]).decode(data)
    assert encode(decoded) == data


@pytest.mark.parametrize(("name", "example"), EXAMPLES)
def test_message_built_by_position_encodes_to_the_same_bytes(name: str, example: dict[str, Any]) -> None:
    built = build(name, from_plain(example["values"]))
    assert encode(built).hex() == example["hex"]


@pytest.mark.parametrize(("name", "example"), DECODABLE)
def test_message_built_by_position_equals_the_decoded_one(name: str, example: dict[str, Any]) -> None:
    decoded = Decoder(MESSAGES[name]).decode(bytes.fromhex(example["hex"]))
    built = build(name, from_plain(example["values"]))
    for field in MESSAGES[name].__struct_fields__:
        got, expected = getattr(decoded, field), getattr(built, field)
        assert type(got) is type(expected)
        assert encode(got) == encode(expected)


@pytest.mark.parametrize(("name", "shortest"), SHORTEST)
def test_message_without_its_optional_fields_gets_the_same_defaults(
    name: str, shortest: dict[str, str]
) -> None:
    decoded = Decoder(MESSAGES[name]).decode(bytes.fromhex(shortest["hex"]))
    assert encode(decoded).hex() == shortest["full"]


@pytest.mark.parametrize(("union", "name"), UNION_MEMBERS)
def test_union_decodes_each_of_its_messages(union: str, name: str) -> None:
    decoder = Decoder(UNIONS[union])
    for example in GOLDEN_MESSAGES[name]["examples"]:
        data = bytes.fromhex(example["hex"])
        decoded = decoder.decode(data)
        assert type(decoded) is MESSAGES[name]
        assert encode(decoded) == data


@pytest.mark.parametrize("union", UNIONS)
def test_union_has_the_same_members(union: str) -> None:
    members = {name for name, cls in MESSAGES.items() if cls in UNIONS[union].__args__}
    assert sorted(members) == GOLDEN_CONSTANTS["unions"][union]
    assert len(UNIONS[union].__args__) == len(members)


@pytest.mark.parametrize("name", GOLDEN_CONSTANTS["enums"])
def test_enum_keeps_its_values(name: str) -> None:
    assert [each.value for each in ENUMS[name]] == [value for _, value in GOLDEN_CONSTANTS["enums"][name]]


@pytest.mark.parametrize("name", GOLDEN_CONSTANTS["constants"])
def test_constant_keeps_its_value(name: str) -> None:
    assert to_plain(CONSTANTS[name]) == GOLDEN_CONSTANTS["constants"][name]
