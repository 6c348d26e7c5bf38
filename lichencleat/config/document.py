"""A parsed YAML document that finds the line of a setting by its path."""

from __future__ import annotations

import re
from collections.abc import Iterator

import yaml

# One element of a path as msgspec reports it: `.key`, `[3]` or `[...]`.
PATH_STEP = re.compile(r"\.([^.\[]+)|\[(\d+)\]|\[\.\.\.\]")


def path_keys(path: str) -> list[str]:
    """Returns the keys on a path such as `$.flows.collectors[0].wire`, without the indexes."""
    return [key for key, _ in PATH_STEP.findall(path) if key]


class YamlDocument:
    """The tree of YAML nodes of one file."""

    def __init__(self, root: yaml.Node | None) -> None:
        """`root` is the outermost YAML node, None for an empty file."""
        self.root = root

    @classmethod
    def parse(cls, text: str) -> YamlDocument:
        """Parses YAML text into nodes that know their lines, without converting them to Python values.

        Raises:
            yaml.YAMLError: the text is not YAML.
        """
        return cls(yaml.compose(text, Loader=yaml.SafeLoader))

    def line_of(self, path: str) -> int | None:
        """Returns the line of the setting at a path, counted from 1.

        If the setting is not in the file, returns the line of its nearest parent that is, or None if there is
        no such parent.
        """
        line = None
        for node_line, _ in self._walk(path):
            line = node_line
        return line

    def has_value(self, path: str) -> bool:
        """Whether the file has a value at a path; if not, the setting has its default."""
        return sum(1 for _ in self._walk(path)) == len(PATH_STEP.findall(path))

    def find_duplicate_key(self) -> tuple[str, int] | None:
        """Returns a key that occurs twice in one mapping, with its line; YAML itself uses the last value."""
        pending = [self.root]
        while pending:
            node = pending.pop()
            if isinstance(node, yaml.SequenceNode):
                pending += node.value
            if not isinstance(node, yaml.MappingNode):
                continue
            seen: set[str] = set()
            for key, value in node.value:
                if key.value in seen:
                    return key.value, key.start_mark.line + 1
                seen.add(key.value)
                pending.append(value)
        return None

    def _walk(self, path: str) -> Iterator[tuple[int, yaml.Node]]:
        """Yields line and YAML node of each element of a path, up to the first element not in the file."""
        node = self.root
        for key, index in PATH_STEP.findall(path):
            if isinstance(node, yaml.MappingNode) and key:
                found = next(((name, value) for name, value in node.value if name.value == key), None)
                if found is None:
                    return
                name, node = found
                yield name.start_mark.line + 1, node
            elif isinstance(node, yaml.SequenceNode) and index and int(index) < len(node.value):
                node = node.value[int(index)]
                yield node.start_mark.line + 1, node
            else:
                return
