"""How much of a pool to whom: everyone's floor, then needs evenly up to the last one that can be met, then
what is left, evenly; no I/O, no chance.

Max-min fairness (Bertsekas and Gallager, Data Networks, 1992, 6.5.2), with steps that are not worth a
message left out.
"""

from __future__ import annotations

from lichencleat.quotas.terms import Pool

STEP = 0.15  # of what a node has: smaller changes are left, for each costs a renewal and some quiet calls
SPARE = 0.5  # of what is left beyond all needs, dealt on top: a burst needs no round trip


def targets(pool: Pool) -> dict[str, int]:
    """For every seat. Their sum and the floors of empty seats stay within the limit, or the part of it."""
    names = sorted(pool.seats)
    if not names:
        return {}
    empty = max(0, pool.nodes - len(names))
    room = int((pool.limit - pool.floor * (empty + len(names))) * pool.part)
    wants = {name: max(0, pool.seats[name].need - pool.floor) for name in names}
    given = fair(wants, max(0, room), {name: pool.seats[name].target for name in names})
    left = room - sum(given.values())
    more = int(left * SPARE) // len(names) if left > 0 else 0
    return {name: pool.floor + given[name] + more for name in names}


def fair(wants: dict[str, int], room: int, had: dict[str, int]) -> dict[str, int]:
    """Whole amounts, none over its want; nobody gets more while another that has less could use it.

    What does not go in evenly stays with those that `had` most, or it would wander with each small change.
    """
    given = dict.fromkeys(wants, 0)
    waiting = sorted(wants, key=lambda name: (wants[name], name))
    while waiting and room > 0:
        even, rest = divmod(room, len(waiting))
        if wants[waiting[0]] <= even:
            name = waiting.pop(0)
            given[name] = wants[name]
            room -= wants[name]
        else:
            for at, name in enumerate(sorted(waiting, key=lambda name: (-had.get(name, 0), name))):
                given[name] = min(wants[name], even + (at < rest))
            break
    return given


def worth_saying(pool: Pool, wanted: dict[str, int]) -> dict[str, int]:
    """The targets that differ by enough from those in force; any that differ while a node lacks what it
    needs.

    Guards against a message for each call that comes or goes. A sum of old and new targets over the limit
    does no harm: what is reserved grows only into what is free.
    """
    seats = pool.seats
    lacking = any(seats[name].need > seats[name].held < amount for name, amount in wanted.items())
    steps = {name: 0 if lacking else max(1, int(seats[name].target * STEP)) for name in wanted}
    return {name: amount for name, amount in wanted.items() if abs(amount - seats[name].target) > steps[name]}
