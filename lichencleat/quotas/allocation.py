"""How much of a pool each node should have: its floor, then its demand as far as the limit allows.

Implements max-min fairness (Bertsekas and Gallager, Data Networks, 1992, 6.5.2). If calls are left over after
all demands are met, a part of them is divided evenly. Changes too small to justify a message are left out.
All functions are pure and use no randomness.
"""

from __future__ import annotations

from lichencleat.quotas.messages import Pool

# Fraction of a node's current target. Unless nodes lack calls, a target changes only by more than this
# fraction: each change costs a renewal, and until then calls stay reserved for the node that gives them up.
MIN_RELATIVE_CHANGE = 0.15
# Fraction of the calls left over after all demands that is divided among the nodes; lets a node serve a burst
# without a round trip to the group.
SURPLUS_SHARE = 0.5


def compute_targets(pool: Pool) -> dict[str, int]:
    """Return the target of each node: the number of calls that the node should have.

    All floors, those of absent nodes included, are reserved first. The rest of the limit, multiplied by
    `allocatable_share`, is divided among the nodes on top of their floors.
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
    remaining = available - sum(allocated.values())
    surplus = int(remaining * SURPLUS_SHARE) // len(names) if remaining > 0 else 0
    return {name: pool.floor + allocated[name] + surplus for name in names}


def share_max_min_fairly(demands: dict[str, int], available: int, current: dict[str, int]) -> dict[str, int]:
    """Divide `available` into integer amounts by max-min fairness.

    No name whose demand is not met gets less than any other name, except for a difference of 1.

    Args:
        demands: The most that each name may get.
        available: The amount to divide.
        current: The amount that each name has now. The remainder of the division goes to the names with the
            largest current amounts; otherwise the remainder would move between names with each small change.
    """
    allocated = dict.fromkeys(demands, 0)
    unsatisfied = sorted(demands, key=lambda name: (demands[name], name))
    while unsatisfied and available > 0:
        equal_share, remainder = divmod(available, len(unsatisfied))
        name = unsatisfied[0]
        if demands[name] > equal_share:
            by_current = sorted(unsatisfied, key=lambda name: (-current.get(name, 0), name))
            for position, each in enumerate(by_current):
                allocated[each] = min(demands[each], equal_share + (position < remainder))
            break
        unsatisfied.pop(0)
        allocated[name] = demands[name]
        available -= demands[name]
    return allocated


def select_changes(pool: Pool, targets: dict[str, int]) -> dict[str, int]:
    """Return the targets that differ from the nodes' current targets by more than a threshold.

    The threshold avoids a message for each call that starts or ends. It is 0 while the reservation of any
    node is below the node's demand and below its target. The sum of unchanged and changed targets may exceed
    the limit without harm, because a reservation grows only as far as calls are free.
    """
    quotas = pool.node_quotas
    has_shortage = any(
        quotas[name].demand > quotas[name].reserved < amount for name, amount in targets.items()
    )
    changes = {}
    for name, amount in targets.items():
        threshold = 0 if has_shortage else max(1, int(quotas[name].target * MIN_RELATIVE_CHANGE))
        if abs(amount - quotas[name].target) > threshold:
            changes[name] = amount
    return changes
