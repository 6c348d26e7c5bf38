"""Errors of the configuration table. Each message states the cause in one line."""


class TableError(Exception):
    """Base class of the table's errors. An operation that raises such an error leaves the table unchanged."""


class ChainError(TableError):
    """An update does not follow the version in force."""


class CorruptTableError(TableError):
    """Received or stored data does not match its digest, or is not valid in a table."""


class InvalidBatchError(TableError):
    """Changes are invalid or exceed a bound.

    The error depends only on the table and the changes, so every member of the group raises it for the same
    changes.
    """
