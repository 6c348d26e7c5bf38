"""What the table refuses; each message says what is wrong, in one line."""


class TableError(Exception):
    """Any refusal of the table; it is as it was before."""


class ChainError(TableError):
    """The version does not follow the one in force."""


class SpoiltError(TableError):
    """Bytes are not what their digest says, or can't be a table's."""


class UnfitError(TableError):
    """Changes that break a bound: the same everywhere, as it follows from the table and them alone."""
