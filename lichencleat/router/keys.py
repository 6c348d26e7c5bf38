"""Sticky idempotency keys: the node on which this router's attempts of a keyed request may have run; no I/O.

A key is bound to the node that its request was sent to, for the window of the request class: an attempt on
another node could run the request a second time. The key is free again earlier only if it is certain that no
attempt has run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

MAX_KEYS = 100_000  # keys within their windows, some 40 MB; above it, requests with new keys are rejected
WINDOW_SLACK_US = 10_000_000  # added to each window, because other machines' clocks set the arrival times
ENTRIES_PER_SWEEP = 64  # entries of the expiry queue checked per new key; two would suffice to keep up


@dataclass(slots=True)
class KeyBinding:
    """The node that a key is bound to, and the time until which the key is bound."""

    expires_at: int  # µs of Unix time
    node: str = ""  # empty: the key is free, as no attempt of this router can have run
    open_attempts: int = 0  # attempts in flight
    may_have_run: bool = False  # whether an attempt that has ended may have run


class KeyBindings:
    """The bindings of all keys within their windows.

    Args:
        max_keys: Number of keys above which `has_room` is false.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        self.max_keys = max_keys
        self.bindings: dict[bytes, KeyBinding] = {}
        self.expiry_queue: deque[tuple[int, bytes]] = deque()  # expiry time and key, roughly in order of time

    def get(self, now: int, key: bytes) -> KeyBinding | None:
        """Return the binding of the key, or None if the key has no binding or the binding has expired."""
        binding = self.bindings.get(key)
        if binding is not None and binding.expires_at < now and not binding.open_attempts:
            del self.bindings[key]
            return None
        return binding

    def has_room(self, now: int) -> bool:
        """Remove some expired bindings, and return whether another key can be bound."""
        self.sweep(now)
        return len(self.bindings) < self.max_keys

    def sweep(self, now: int) -> None:
        """Remove expired bindings; check at most `ENTRIES_PER_SWEEP` entries of the expiry queue."""
        for _ in range(ENTRIES_PER_SWEEP):
            if not self.expiry_queue or self.expiry_queue[0][0] >= now:
                return
            _, key = self.expiry_queue.popleft()
            binding = self.bindings.get(key)
            if binding is None:
                continue
            if binding.open_attempts or binding.expires_at >= now:  # a later attempt extends the binding
                self.expiry_queue.append((max(binding.expires_at, now), key))
            else:
                del self.bindings[key]

    def on_sent(self, now: int, key: bytes, node: str, until: int) -> None:
        """Bind the key to the node of a new attempt; `until`: end of the key's window, µs of Unix time."""
        binding = self.bindings.get(key)
        if binding is None:
            binding = self.bindings[key] = KeyBinding(until + WINDOW_SLACK_US)
            self.expiry_queue.append((binding.expires_at, key))
        assert binding.node in ("", node), "the key is bound to another node, where it may have run"
        binding.node = node
        binding.open_attempts += 1
        binding.expires_at = max(binding.expires_at, until + WINDOW_SLACK_US)

    def on_finished(self, key: bytes, may_have_run: bool) -> None:
        """Record the end of an attempt with the key; free the key if no attempt can have run."""
        binding = self.bindings[key]
        binding.open_attempts -= 1
        binding.may_have_run |= may_have_run
        if not binding.open_attempts and not binding.may_have_run:
            binding.node = ""
