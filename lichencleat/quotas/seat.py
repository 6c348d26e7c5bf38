"""A node's seat in a pool, and its part in dealing it out where it owns that job; decides nothing itself."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.python.failure import Failure

from lichencleat.leases.holder import Holder
from lichencleat.quotas.dealer import LOOK, Dealer
from lichencleat.quotas.grants import Grants
from lichencleat.quotas.terms import Deal, Granted, Over, Pool, job_of
from lichencleat.transport.group_client import GroupClient

SECOND = 1_000_000  # µs
LOOK_MOST = 100_000  # µs from one look at the grant to the next, whatever is due
DEAL_WAIT = 1.0  # s for the answer to a look or a deal; the next look says it anew


class Seat:
    """Owns the grant's timer. Tells the host of the node how many calls it may have in hand."""

    def __init__(
        self,
        reactor: Any,
        client: GroupClient,
        grants: Grants,
        wanted: Callable[[], tuple[int, int]],
        may_call: Callable[[int], None],
        log: Any,
    ) -> None:
        """`wanted`: calls that are out, and that would be; `may_call`: told each change of the bound."""
        self.reactor, self.client, self.grants, self.log = reactor, client, grants, log
        self.wanted, self.may_call = wanted, may_call
        self.told: int | None = None
        self.said = ""  # the refusal that the log has had
        self.timer: Any = None
        self.left = False

    def now(self) -> int:
        return int(self.reactor.seconds() * SECOND)

    def start(self) -> None:
        self.step()

    def span(self, span: int) -> int:
        """Of a call that goes out now: it ends with the grant that it counts on."""
        return max(1, min(span, self.grants.span(self.now())))

    def step(self) -> None:
        self.timer = None
        if self.left:
            return
        now = self.now()
        self.tell(now)
        out, need = self.wanted()
        self.grants.wants(need)
        ask = self.grants.next_ask(now, out)
        if ask is not None:
            patience = self.grants.patience() / SECOND
            self.client.propose("shares", ask, patience).addCallbacks(self.answered, self.failed)
        self.arm()

    def arm(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        if not self.left:
            now = self.now()
            span = max(1_000, min(self.grants.deadline(now) - now, LOOK_MOST))
            self.timer = self.reactor.callLater(span / SECOND, self.step)

    def tell(self, now: int) -> None:
        usable = self.grants.usable(now)
        if usable != self.told:
            self.told = usable
            self.log.info(
                "grant",
                pool=self.grants.pool,
                usable=usable,
                floor=self.grants.floor,
                token=self.grants.token,
            )
            self.may_call(usable)

    def answered(self, told: Any) -> None:
        try:
            granted = msgspec.convert(told, Granted)
        except msgspec.ValidationError:  # voters of an older version know no pools
            granted = Granted(0, 0, refused="the voters know no pools")
        self.grants.answered(self.now(), granted)
        if granted.refused and granted.refused != self.said:
            self.log.warning("no seat", pool=self.grants.pool, reason=granted.refused)
        self.said = granted.refused
        self.tell(self.now())
        self.arm()

    def failed(self, failure: Failure) -> None:
        self.grants.failed(self.now())
        self.log.warning("grant not renewed", pool=self.grants.pool, reason=failure.getErrorMessage())
        self.arm()

    def stop(self) -> None:
        self.left = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def beliefs(self) -> str:
        now = self.now()
        left = (self.grants.until - now) // 1000
        until = f"for {left} ms" if left > 0 else "as its floor"
        refused = f", refused: {self.grants.refused}" if self.grants.refused else ""
        return f"{self.grants.pool}: {self.grants.usable(now)} calls {until}{refused}"


class Dealing:
    """The owner's work: a look at the pool every so often, and what follows from it. A `holder.Work`."""

    def __init__(self, reactor: Any, client: GroupClient, pool: str, log: Any) -> None:
        self.reactor, self.client, self.pool, self.log = reactor, client, pool, log
        self.job = job_of(pool)
        self.holder: Holder | None = None
        self.dealer: Dealer | None = None
        self.timer: Any = None

    def begins(self, job: str, token: int) -> None:
        if job == job_of(self.pool):
            self.dealer = Dealer(self.pool, token)
            self.look()

    def ends(self, job: str, reason: str) -> None:
        if job == job_of(self.pool):
            self.dealer = None
            if self.timer is not None and self.timer.active():
                self.timer.cancel()

    def look(self) -> None:
        dealer = self.dealer
        if dealer is not None:
            told = self.client.read("shares", self.pool, DEAL_WAIT)
            told.addCallbacks(self.sees, self.not_seen, callbackArgs=(dealer,), errbackArgs=(dealer,))

    def again(self, dealer: Dealer, span: float) -> None:
        if dealer is self.dealer:
            self.timer = self.reactor.callLater(span, self.look)

    def not_seen(self, failure: Failure, dealer: Dealer) -> None:
        self.log.warning("pool not read", pool=self.pool, reason=failure.getErrorMessage())
        self.again(dealer, DEAL_WAIT)

    def sees(self, told: Any, dealer: Dealer) -> None:
        if dealer is not self.dealer:
            return
        if told is None:
            self.log.warning("no such pool", pool=self.pool)
            self.again(dealer, DEAL_WAIT)
            return
        pool = msgspec.convert(told, Pool)
        for each in dealer.looks(int(self.reactor.seconds() * SECOND), pool):
            self.propose(each)
        self.again(dealer, pool.term * LOOK / SECOND)

    def propose(self, what: Deal | Over) -> None:
        """The lease is looked at once more; the token that goes along is what counts."""
        if self.holder is None or self.holder.token(job_of(self.pool)) is None:
            return
        if isinstance(what, Over):
            self.log.info("grant over", pool=self.pool, node=what.node, token=what.token)
        told = self.client.propose("shares", what, DEAL_WAIT)
        told.addCallbacks(
            lambda done: done and done[0] or self.log.info("not dealt", pool=self.pool, reason=str(done)),
            lambda failure: self.log.warning("not dealt", pool=self.pool, reason=failure.getErrorMessage()),
        )
