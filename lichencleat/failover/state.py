"""Evidence and orders: a part of the group's state, the same at each member; no I/O, no clock."""

from __future__ import annotations

from typing import Any

import msgspec

from lichencleat.decoding import UNDECODABLE
from lichencleat.failover.terms import (
    HISTORY_MOST,
    JOB,
    SOURCES_MOST,
    ZONES_MOST,
    Command,
    Define,
    Done,
    Drop,
    Duty,
    Give,
    Learn,
    Order,
    Source,
    Tell,
    Unwish,
    Wish,
    Wished,
    Zone,
)
from lichencleat.leases.lease_state import LeaseState

decode_command = msgspec.msgpack.Decoder(Command).decode
SAFE = 1.0  # of what a zone is known to carry, its guests and own together: beyond it an order is refused


class Dumped(msgspec.Struct, array_like=True):
    zones: dict[str, Zone]
    order: Order
    sources: dict[str, Source]
    wishes: dict[str, Wished]
    history: list[Order]


decode_dumped = msgspec.msgpack.Decoder(Dumped).decode


class Zones:
    """A `state.Part`. An order comes into force in `give` alone."""

    def __init__(self, jobs: LeaseState) -> None:
        """`jobs`: the part of the same state; its newest token is what the owner says is held against."""
        self.jobs = jobs
        self.zones: dict[str, Zone] = {}
        self.order = Order()
        self.sources: dict[str, Source] = {}
        self.wishes: dict[str, Wished] = {}
        self.history: list[Order] = []

    def apply(self, index: int, command: msgspec.Raw) -> Any:
        try:
            what = decode_command(command)
        except UNDECODABLE:
            return Done(False, "no command")
        if isinstance(what, Tell):
            return self.tell(index, what)
        if isinstance(what, Define):
            if what.zone not in self.zones and len(self.zones) >= ZONES_MOST:
                return Done(False, "too many zones")
            if what.carries <= 0:
                return Done(False, "a zone that carries nothing is none")
            self.zones[what.zone] = Zone(what.region, what.carries, what.far)
            return Done(True)
        if what_zone(what) not in self.zones and not isinstance(what, Give):
            return Done(False, "no such zone")
        if isinstance(what, Drop):
            del self.zones[what.zone]
            self.wishes.pop(what.zone, None)
            return Done(True)
        if isinstance(what, Wish):
            self.wishes[what.zone] = Wished(what.duty, what.span, index)
            return Done(True)
        if isinstance(what, Unwish):
            return self.unwish(what)
        if not self.jobs.is_current_token(JOB, what.token):  # stopped for leases, it goes on with its view
            return Done(False, "an older owner's")
        if isinstance(what, Learn):
            self.zones[what.zone].carries = what.carries
            return Done(True)
        return self.give(what)

    def tell(self, index: int, what: Tell) -> Order:
        if what.router in self.sources or len(self.sources) < SOURCES_MOST:
            self.sources[what.router] = Source(what.zone, what.order, what.offered, what.seen, index)
        return self.order

    def unwish(self, what: Unwish) -> Done:
        known = self.wishes.get(what.zone)
        if known is None or (what.given and known.given != what.given):
            return Done(False, "no such wish")
        del self.wishes[what.zone]
        return Done(True)

    def give(self, what: Give) -> Done:
        if what.after != self.order.number:
            return Done(False, "another order was given since")
        for zone, guests in what.order.guests.items():
            if zone not in self.zones or guests > self.zones[zone].carries * SAFE:
                return Done(False, f"{zone} is not known to carry {guests:.0f} a second")
        fenced = {name for name, wish in self.wishes.items() if wish.duty == Duty.FENCED}
        if any(what.order.duty(name) != Duty.FENCED for name in fenced):
            return Done(False, "an operator has fenced a zone that it opens")
        self.history = [*self.history, self.order][-HISTORY_MOST:]
        self.order = msgspec.structs.replace(what.order, number=self.order.number + 1, token=what.token)
        return Done(True)

    # -- the state -------------------------------------------------------------------------------------

    def read(self, query: Any) -> Any:
        if query == "history":
            return self.history
        return {"zones": self.zones, "order": self.order, "sources": self.sources, "wishes": self.wishes}

    def dump(self) -> Any:
        return Dumped(self.zones, self.order, self.sources, self.wishes, self.history)

    def load(self, dumped: msgspec.Raw) -> None:
        found = decode_dumped(dumped)
        self.zones, self.order, self.sources = found.zones, found.order, found.sources
        self.wishes, self.history = found.wishes, found.history


def what_zone(what: Any) -> str:
    return getattr(what, "zone", "")
