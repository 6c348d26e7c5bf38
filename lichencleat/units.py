"""Conversions between units of time: times are whole microseconds, the reactor's timers take seconds."""

from __future__ import annotations

MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1_000
