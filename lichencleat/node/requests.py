"""Parses requests: checks the form and range of each field, and derives the key that identifies repeats."""

from __future__ import annotations

import re
from collections.abc import Callable, Container
from hashlib import blake2b

from lichencleat.admission.types import Effect, Request
from lichencleat.node.host import RequestEngine
from lichencleat.node.pending_request import PendingRequest

MAX_BODY = 2_048  # bytes of a request's body; a limit of the protocol
# µs by which a stated arrival time may be ahead of this process's clock; both clocks are the same machine's
MAX_ARRIVAL_AHEAD = 1_000_000
# µs after its deadline in which a request is still accepted, as the machine may have paused
MAX_ARRIVAL_BEHIND = 10_000_000
MAX_COST_HINT = 60_000.0  # ms of work that a client may state, ten times the longest wait for an answer
MAX_SIZE = 2_000.0  # KB of memory that a request may reserve; a limit of the protocol
KEY_DIGEST_SIZE = 16  # bytes; long enough that neither chance nor a hostile client makes digests collide
# valid values of each field by the protocol, which is stricter than `int` and `float`
FIELD_PATTERNS = {
    b"i": re.compile(rb"[0-9a-fA-F]{16}"),
    b"s": re.compile(rb"[0-9]{1,15}"),
    b"f": re.compile(rb"[0-9]{1,9}"),
    b"h": re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"),
    b"m": re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"),
    b"p": re.compile(rb"0(\.[0-9]{1,9})?"),
    b"k": re.compile(rb"[0-9a-fA-F]{32}"),
    b"r": re.compile(rb"1"),
}


class BadRequestError(Exception):
    """An array is not a valid request; the message gives the reason."""


def parse_fields(text: bytes) -> dict[bytes, bytes]:
    """Return a request's fields by name. Raises ValueError if a field is repeated or malformed."""
    pairs = [each.split(b"=", 1) for each in text.split(b",")]
    values = dict(pairs)
    if len(values) < len(pairs):
        raise ValueError("repeated field")
    for name, value in values.items():
        pattern = FIELD_PATTERNS.get(name)
        if pattern is not None and not pattern.fullmatch(value):
            raise ValueError(f"field {name!r} has invalid value {value[:40]!r}")
    return values


def read_request(
    words: list[bytes], engine: RequestEngine, tenants: Container[bytes], reply: Callable[..., None]
) -> tuple[PendingRequest, bytes]:
    """Return the request that an array contains, and its tenant. Raises BadRequestError if it is invalid.

    `tenants`: the known tenants; false on a site without tenants, where every tenant is accepted.
    `reply`: called with the answer to the request.
    """
    if not 4 <= len(words) <= 5:
        raise BadRequestError(f"request of {len(words)} words")
    body = words[4] if len(words) == 5 else b""
    request_class = engine.request_classes.get(words[2])
    if request_class is None or len(body) > MAX_BODY:
        raise BadRequestError(
            f"unknown request class {words[2][:40]!r} or too long body of {len(body)} bytes"
        )
    now = engine.clock()
    try:
        values = parse_fields(words[3])
        ident, stated_arrival, tenant = values[b"i"], int(values[b"s"]) * 1000, values.get(b"t", b"")
        arrived, size_kb, cost_ms = min(stated_arrival, now), float(values[b"m"]), float(values.get(b"h", 0))
        if tenants and tenant not in tenants:
            raise ValueError("unknown tenant")
        if not now - MAX_ARRIVAL_BEHIND - request_class.deadline <= stated_arrival <= now + MAX_ARRIVAL_AHEAD:
            raise ValueError("arrival time too far from now")
        if not 0 < size_kb < MAX_SIZE or cost_ms > MAX_COST_HINT or ident in engine.pending_ids:
            raise ValueError("number out of range, or id of a pending request")
        request = Request(
            request_class=request_class,
            arrived=arrived,
            due=max(arrived + request_class.deadline, now),
            rank=float(values[b"p"]),
            caller=int(values[b"f"]),
            tenant=tenant.decode(errors="replace"),
            is_retry=b"r" in values,
            cost=int(cost_ms * 1000),
            size_kb=size_kb,
        )
        key = (
            values[b"k"] + digest_parts(tenant, words[2], body)
            if request_class.effect is Effect.KEYED
            else b""
        )
    except (KeyError, ValueError) as error:
        raise BadRequestError(f"fields {words[3][:120]!r}: {error!r}") from error
    return PendingRequest(request, ident, body, key, reply), tenant


def digest_parts(*parts: bytes) -> bytes:
    """Return a digest of the tenant, request class and body, which are the same in all attempts of a request.

    Appended to the idempotency key, the digest keeps a request of another client with the same key from being
    treated as a repeat. Each part is hashed with its length, so that different parts never give the same
    input.
    """
    digest = blake2b(digest_size=KEY_DIGEST_SIZE)
    for part in parts:
        digest.update(b"%d:" % len(part) + part)
    return digest.digest()
