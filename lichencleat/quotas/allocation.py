"""How much of a pool each node should have: its floor, then its demand as far as the limit allows.

Max-min fairness (Bertsekas and Gallager, Data Networks, 1992, 6.5.2). What is left beyond all demands is
divided evenly, and changes that are not worth a message are left out. Pure functions without randomness.
"""

from __future__ import annotations

from lichencleat.quotas.messages import Pool

MIN_RELATIVE_CHANGE = 0.15  # of a target; each change costs a renewal, and calls that are held back
SURPLUS_SHARE = 0.5  # of what is left beyond all demands: a burst needs no round trip


def compute_targets(pool: Pool) -> dict[str, int]:
    """Return the target of each node.

    Their sum and the floors of absent nodes stay within the limit, or the share that may be allocated.
    """
    quotas = pool.node_quotas
    if not quotas:
        return {}
    names = sorted(quotas)
    absent = max(0, pool.max_nodes - len(names))
    beyond_floors = pool.limit - pool.floor * (absent + len(names))
    available = int(beyond_floors * pool.allocatable_share)
    demands = {name: max(0, quotas[name].demand - pool.floor) for name in names}
    current = {name: quotas[name].target for name in names}
    allocated = share_max_min_fairly(demands, max(0, available), current)
    left = available - sum(allocated.values())
    surplus = int(left * SURPLUS_SHARE) // len(names) if left > 0 else 0
    return {name: pool.floor + allocated[name] + surplus for name in names}


def share_max_min_fairly(demands: dict[str, int], available: int, current: dict[str, int]) -> dict[str, int]:
    """Divide `available` in whole amounts, so that nobody gets more while another with less could use it.

    Args:
        demands: The most that each may get.
        available: The amount to divide.
        current: What each has now. A remainder that cannot be divided stays with those that have most, or it
            would wander with each small change.
    """
    allocated = dict.fromkeys(demands, 0)
    waiting = sorted(demands, key=lambda name: (demands[name], name))
    while waiting and available > 0:
        even, remainder = divmod(available, len(waiting))
        name = waiting[0]
        if demands[name] > even:
            by_current = sorted(waiting, key=lambda name: (-current.get(name, 0), name))
            for position, each in enumerate(by_current):
                allocated[each] = min(demands[each], even + (position < remainder))
            break
        waiting.pop(0)
        allocated[name] = demands[name]
        available -= demands[name]
    return allocated


def select_changes(pool: Pool, targets: dict[str, int]) -> dict[str, int]:
    """Return the targets that differ enough from those in force.

    That avoids a message for each call that starts or ends. While a node lacks what it needs, every
    difference counts. A sum of old and new targets above the limit does no harm: a reservation grows only
    into what is free.
    """
    quotas = pool.node_quotas
    is_short = any(quotas[name].demand > quotas[name].reserved < amount for name, amount in targets.items())
    changes = {}
    for name, amount in targets.items():
        threshold = 0 if is_short else max(1, int(quotas[name].target * MIN_RELATIVE_CHANGE))
        if abs(amount - quotas[name].target) > threshold:
            changes[name] = amount
    return changes
