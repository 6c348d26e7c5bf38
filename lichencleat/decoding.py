"""What decoding may raise on bytes that are none of ours: who reads a socket, log or file catches it.

msgspec raises UnicodeDecodeError for text that is no UTF-8, and that is no MsgspecError of its own.
"""

from __future__ import annotations

import msgspec

UNDECODABLE = (msgspec.MsgspecError, UnicodeDecodeError)
