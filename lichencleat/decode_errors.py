"""The errors that decoding raises for bytes that do not encode the expected type.

Code that decodes data from a socket, a log or a file catches these errors. msgspec raises UnicodeDecodeError
for text that is not UTF-8, and UnicodeDecodeError is not a subclass of MsgspecError.
"""

from __future__ import annotations

import msgspec

UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError)
