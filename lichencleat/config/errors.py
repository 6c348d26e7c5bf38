"""The error of a configuration file that can't be used."""

from __future__ import annotations

from typing import Self


class InvalidConfigError(Exception):
    """One line: file, line, path of the setting, what is wrong and what would be right."""

    @classmethod
    def at(cls, path: str, line: int | None, problem: str) -> Self:
        """Returns the error for a problem on a line (from 1) of a file; None where no line is known."""
        place = path if line is None else f"{path}, line {line}"
        return cls(f"{place}: {problem}")
