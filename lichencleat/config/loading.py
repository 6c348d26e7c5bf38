"""Reads a YAML file and decodes it into a struct; mistakes are reported with file, line and path."""

from __future__ import annotations

import re
from typing import TypeVar

import msgspec
import yaml
from msgspec import Struct

from lichencleat.config.document import YamlDocument, path_keys
from lichencleat.config.errors import InvalidConfigError
from lichencleat.config.schema import NodeConfig
from lichencleat.config.validation import validate_node_config

MAX_CONFIG_CHARACTERS = 1 << 20  # usual files have some kilobytes

ConfigT = TypeVar("ConfigT", bound=Struct)


def read_node_config(path: str) -> NodeConfig:
    """Reads a node's configuration file.

    Raises:
        InvalidConfigError: the file can't be read or contains a mistake; no part of it is used.
    """
    return parse_node_config(path, read_config_text(path))[0]


def read_config_text(path: str) -> str:
    """Returns the text of a configuration file.

    Raises:
        InvalidConfigError: the file can't be read, is not UTF-8 or is too long.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read(MAX_CONFIG_CHARACTERS + 1)
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "is not UTF-8 text"
        raise InvalidConfigError.at(path, None, f"{reason}; name a YAML file that can be read") from error
    if len(text) > MAX_CONFIG_CHARACTERS:
        problem = f"longer than {MAX_CONFIG_CHARACTERS} characters; usual files have a few thousand"
        raise InvalidConfigError.at(path, None, problem)
    return text


def parse_node_config(path: str, text: str) -> tuple[NodeConfig, YamlDocument]:
    """Decodes and validates the text of a node's configuration file; error messages name the file as `path`.

    Raises:
        InvalidConfigError: the text contains a mistake.
    """
    config, document = parse_config(path, text, NodeConfig)
    validate_node_config(path, document, config)
    return config, document


def parse_config(path: str, text: str, schema: type[ConfigT]) -> tuple[ConfigT, YamlDocument]:
    """Decodes YAML text as a struct of the type `schema`; error messages name the file as `path`.

    Raises:
        InvalidConfigError: the text is not YAML or does not fit the schema.
    """
    document, raw = _parse_yaml(path, text)
    try:
        return msgspec.convert({} if raw is None else raw, schema, strict=True), document
    except msgspec.ValidationError as error:
        raise _schema_error(path, document, str(error), schema) from error


def _parse_yaml(path: str, text: str) -> tuple[YamlDocument, object]:
    """Returns the YAML document of the text, and the Python value that the document encodes."""
    try:
        document = YamlDocument.parse(text)
        _reject_duplicate_keys(path, document)
        return document, yaml.safe_load(text)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        line = mark.line + 1 if mark else None
        reason = getattr(error, "problem", None) or "can't be read"
        raise InvalidConfigError.at(path, line, f"not YAML: {reason}; correct the syntax there") from error


def _reject_duplicate_keys(path: str, document: YamlDocument) -> None:
    duplicate = document.find_duplicate_key()
    if duplicate is not None:
        key, line = duplicate
        raise InvalidConfigError.at(path, line, f"duplicate key {key!r}; remove one of the two")


def _schema_error(
    path: str, document: YamlDocument, message: str, schema: type[Struct]
) -> InvalidConfigError:
    """Returns an error with msgspec's message and the line; for an unknown key, the known keys are listed."""
    problem, _, setting = message.partition(" - at `")
    setting = setting.rstrip("`") or "$"
    unknown = re.search(r"unknown field `(.+)`", problem)
    if unknown:
        line = document.line_of(f"{setting}.{unknown[1]}")
        known = ", ".join(sorted(_list_keys(setting, schema)))
        problem = f"unknown key {unknown[1]!r}; known here: {known}"
    else:
        line = document.line_of(setting)
    name = setting.removeprefix("$").lstrip(".") or "the file"
    return InvalidConfigError.at(path, line, f"{name}: {problem}")


def _list_keys(setting: str, schema: type[Struct]) -> list[str]:
    """Returns the keys that the schema allows at a path."""
    for key in path_keys(setting):
        field_type = next(field.type for field in msgspec.structs.fields(schema) if field.name == key)
        schema = _find_struct(field_type) or schema
    return [field.name for field in msgspec.structs.fields(schema)]


def _find_struct(annotation: object) -> type[Struct] | None:
    """Returns the struct type that an annotation is or contains (in an optional, a list or a mapping)."""
    if isinstance(annotation, type) and issubclass(annotation, Struct):
        return annotation
    arguments = getattr(annotation, "__args__", ())
    return next((found for argument in arguments if (found := _find_struct(argument))), None)
