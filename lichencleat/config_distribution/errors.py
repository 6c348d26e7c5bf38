"""Errors of the table; each message states the cause in one line."""


class TableError(Exception):
    """Base of all errors of the table; the table is unchanged when one is raised."""


class ChainError(TableError):
    """The version does not follow the one in force."""


class CorruptTableError(TableError):
    """Data does not match its digest, or can't be part of a table."""


class InvalidBatchError(TableError):
    """Changes exceed a bound.

    Every member raises it alike, as it depends on the table and the changes alone.
    """
