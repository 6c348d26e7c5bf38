"""The error for an invalid configuration file."""

from __future__ import annotations

from typing import Self


class InvalidConfigError(Exception):
    """An invalid file. The error's text is one line: file, line, path of the setting, mistake, correction."""

    @classmethod
    def at(cls, path: str, line: int | None, problem: str) -> Self:
        """Returns the error for a problem in a file; `line` counts from 1, None for an unknown line."""
        place = path if line is None else f"{path}, line {line}"
        return cls(f"{place}: {problem}")
