"""Parts of a dependency that all nodes call, dealt out by one owner: docs/quotas.md.

Promised: the sum of what all nodes together may have in hand never exceeds the pool's limit, whichever
owners are alive, stopped or cut off, as long as clocks keep the stated drift; a deal of an old owner is
refused by its token. A node that hears from nobody keeps its floor, which is set aside for it at all times.
Not promised: that a call already written is taken back; so a call under a grant is told to end with it.

Decisions, all without I/O: `pools.py` who holds how much (a part of the group's state), `deal.py` how much
to whom, `dealer.py` what the owner proposes and when a grant must be over, `grants.py` what a node may use
and until when. `seat.py` carries them out in a node.
"""
