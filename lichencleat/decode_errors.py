"""The errors that decoding raises for bytes which do not hold what was expected.

Code that decodes what it read from a socket, a log or a file catches them. msgspec raises UnicodeDecodeError
for text that is not UTF-8, and that is not a subclass of its own MsgspecError.
"""

from __future__ import annotations

import msgspec

UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError)
