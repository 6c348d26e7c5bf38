"""Where a member answers questions that are none of the group's: the seam that `distribution` hangs on."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any, Protocol

from lichencleat.consensus.state_machine import StateMachine
from lichencleat.transport.frames import ClientRequest
from lichencleat.transport.inbound import InboundConnection


class Log(Protocol):
    """Where events are told; `lichencleat.log` makes one."""

    def info(self, event: str, **fields: Any) -> Any: ...

    def warning(self, event: str, **fields: Any) -> Any: ...


class Asks(Protocol):
    """What may be asked of the member: as `process.Process`."""

    zone: str

    def now(self) -> int: ...

    def mark(self) -> bytes:
        """The group's."""

    def prove(self, told: Callable[[bool], None]) -> None:
        """`told`: did a majority follow this leader at some moment after this call, and is all that was
        committed before it applied by now? False also where it does not lead.
        """


class Serves(Protocol):
    """Answers from what the member has applied, leader or not."""

    def begins(self, member: Asks) -> None: ...

    def wants(self, what: str) -> bool: ...

    def asked(self, link: InboundConnection, request: ClientRequest) -> None: ...

    def hung_up(self, link: InboundConnection) -> None: ...

    def applied(self, state: StateMachine) -> None:
        """Some entries may have been, or a snapshot has taken the state's place. Only once it takes part."""

    def word(self, commit: int) -> None:
        """The leader has said that entries up to there are committed, and none after them as far as it
        knows. They may not be here yet.
        """

    def ends(self) -> None:
        """Nothing more may be answered."""


class Guarded:
    """Guards the group: whatever fails in answering others, the member goes on to vote and confirm."""

    def __init__(self, serves: Serves | None, log: Log) -> None:
        self.serves, self.log = serves, log

    def wants(self, what: str) -> bool:
        return self.serves is not None and self.serves.wants(what)

    def tell(self, what: Callable[[Serves], None]) -> None:
        if self.serves is None:
            return
        try:
            what(self.serves)
        except Exception:
            trace = traceback.format_exc(limit=-3).replace("\n", " | ")
            self.log.warning("error", trace=trace, then="this member serves no more")
            self.end()

    def end(self) -> None:
        serves, self.serves = self.serves, None
        if serves is not None:
            serves.ends()
