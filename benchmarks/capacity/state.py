"""Parts of the group's state by how much they hold, and what their owners compute at each look at them.

All by direct calls in this process: owner and candidates, dealer and seats, the judge of zones and what its
routers report, facts, the file of today's configuration. Times are of the processor; bytes as they are sent.
"""

from __future__ import annotations

import gc
import json
import random
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from benchmarks.capacity import Effort, Lines, enough, took
from lichencleat.capacity.slopes import Line
from lichencleat.config.loading import parse_config
from lichencleat.consensus.key_value import KeyValueEntry, KeyValueState
from lichencleat.failover.controller import FailoverController
from lichencleat.failover.messages import JOB, DefineZone, HealthReport, RouterHealth, ZoneObservation
from lichencleat.failover.state import FailoverSnapshot, FailoverState
from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import DefineJob, RenewLease
from lichencleat.quotas.allocator import Allocator
from lichencleat.quotas.messages import DEFAULT_TERM_US, NodeQuota, Pool, QuotaRequest, allocator_job
from lichencleat.quotas.quota_state import QuotaState

encode = msgspec.msgpack.encode
POOL, FLOOR = "below", 2


def raw(what: Any) -> msgspec.Raw:
    return msgspec.Raw(encode(what))


def held_mb(make: Callable[[], Any]) -> float:
    """What the thing that is made keeps in memory, as Python counts it."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return (after - before) / 1e6


# -- facts and the file ------------------------------------------------------------------------------------


def record(number: int) -> tuple[str, bytes]:
    """Name and value of a route or tenant: 80 bytes together."""
    return f"tenant/{number:010d}", b"%063d" % number


def facts(effort: Effort) -> list[Line]:
    lines = Lines("facts")
    lines.kind("facts.memory_mb", "records", "MB", "as Python objects")
    lines.kind("facts.dump_ms", "records", "ms", "in one go")
    lines.kind("facts.load_ms", "records", "ms", "in one go")
    lines.kind("facts.dump_mb", "records", "MB")
    for count in effort.sizes((10_000, 30_000, 65_536, 200_000, 560_000), (100, 200, 300, 400)):

        def made(count: int = count) -> KeyValueState:
            """Past the bound on facts: what they would take."""
            part = KeyValueState()
            for number in range(count):
                name, value = record(number)
                part.entries[name] = KeyValueEntry(value, number)
            return part

        lines.add("facts.memory_mb", count, held_mb(made))
        part = made()
        data = encode(part.dump())
        lines.add("facts.dump_mb", count, len(data) / 1e6)
        for _ in range(effort.runs(3)):
            lines.add("facts.dump_ms", count, took(lambda part=part: encode(part.dump()), 1) * 1e3)
            load = partial(KeyValueState().load, msgspec.Raw(data))
            lines.add("facts.load_ms", count, took(load, 1) * 1e3)
    return lines.made()


class Listed(msgspec.Struct):
    records: dict[str, dict[str, str]]


def file(effort: Effort) -> list[Line]:
    """An operators' file with records: read as the node reads its own, the node standing still meanwhile."""
    lines = Lines("file")
    lines.kind("file.read_s", "records", "s", "the node does nothing else meanwhile")
    lines.kind("file.bytes", "records", "bytes")
    for count in effort.sizes((500, 1_000, 2_000, 4_000, 8_000), (10, 20, 30, 40)):
        rows = {f"tenant-{number:010d}": {"to": f"zone-{number % 17:02d}"} for number in range(count)}
        text = json.dumps({"records": rows}, indent=0)
        lines.add("file.bytes", count, len(text))
        for _ in range(effort.runs(3)):
            lines.add("file.read_s", count, took(lambda text=text: parse_config("f", text, Listed), 1))
    return lines.made()


# -- owners ------------------------------------------------------------------------------------------------


def owners(effort: Effort) -> list[Line]:
    lines = Lines("owners")
    lines.kind("owner.renew_us", "candidates", "µs a renewal", "at each member of the group")
    lines.kind("owner.state_kb", "candidates", "KB")
    for count in effort.sizes((4, 8, 16, 32, 64), (4, 8, 12, 16)):
        jobs = LeaseState()
        for number in range(count):
            jobs.apply(number + 1, raw(RenewLease(f"node-{number:05d}", f"z{number % 17}", number, True, {})))
        for number in range(16):
            jobs.apply(1_000 + number, raw(DefineJob(f"shares/pool-{number}")))
        held = {name: job.fencing_token for name, job in jobs.jobs.items() if job.holder == "node-00000"}
        renewal = raw(RenewLease("node-00000", "z0", 0, True, held))
        lines.add("owner.state_kb", count, len(encode(jobs.dump())) / 1e3)
        for _ in range(effort.runs(5)):
            spent = enough(lambda jobs=jobs, renewal=renewal: jobs.apply(2_000, renewal), effort.seconds(0.2))
            lines.add("owner.renew_us", count, spent * 1e6)
    return lines.made()


# -- shares ------------------------------------------------------------------------------------------------


def dealt(count: int, rng: random.Random) -> tuple[LeaseState, QuotaState]:
    """A pool with so many seats, most of them in use; put in past its bound, to see beyond it."""
    jobs = LeaseState()
    jobs.apply(1, raw(RenewLease("owner", "", 1, True, {})))
    jobs.apply(2, raw(DefineJob(allocator_job(POOL))))
    pools = QuotaState(jobs)
    pool = pools.pools[POOL] = Pool(count * 40, FLOOR, count, DEFAULT_TERM_US, fencing_token=2)
    for number in range(count):
        held = rng.randint(10, 40)
        pool.node_quotas[f"node-{number:05d}"] = NodeQuota(
            rng.getrandbits(40), 9, held, held, held + 5, 1_000_000 + number
        )
    return jobs, pools


def shares(effort: Effort) -> list[Line]:
    lines = Lines("shares")
    lines.kind(
        "dealer.look_ms", "seats", "ms a look", "the pool decoded, its targets, what is encoded of them"
    )
    lines.kind("dealer.look_kb", "seats", "KB a look", "of the pool, from the leader")
    lines.kind("seat.renew_us", "seats", "µs a renewal", "at each member of the group")
    lines.kind("seat.renew_bytes", "seats", "bytes a renewal", "of its entry in the log")
    kind = msgspec.msgpack.Decoder(Pool)
    for count in effort.sizes((64, 256, 512, 1_024, 2_048, 3_300), (4, 8, 12, 16)):
        rng = random.Random(effort.seed)
        _, pools = dealt(count, rng)
        name = f"node-{count // 2:05d}"
        seat = pools.pools[POOL].node_quotas[name]
        data = encode(pools.read(POOL))
        lines.add("dealer.look_kb", count, len(data) / 1e3)
        dealer = Allocator(POOL, 2)
        now = [0]

        def look(dealer: Allocator = dealer, data: bytes = data, now: list[int] = now) -> None:
            now[0] += 500_000
            for each in dealer.decide(now[0] % 4_000_000, kind.decode(data)):
                encode(each)

        turn = [100]

        def renewal(
            pools: QuotaState = pools, name: str = name, seat: NodeQuota = seat, turn: list[int] = turn
        ) -> None:
            turn[0] += 1
            ask = QuotaRequest(
                POOL, name, seat.incarnation, turn[0], FLOOR, DEFAULT_TERM_US, seat.reserved, 30
            )
            pools.apply(2_000_000 + turn[0], raw(ask))

        ask = QuotaRequest(POOL, name, seat.incarnation, 1_000_000, FLOOR, DEFAULT_TERM_US, 30, 30)
        lines.add("seat.renew_bytes", count, len(encode(("shares", ask))) + 32)
        for _ in range(effort.runs(5)):
            lines.add("dealer.look_ms", count, enough(look, effort.seconds(0.3)) * 1e3)
            lines.add("seat.renew_us", count, enough(renewal, effort.seconds(0.3)) * 1e6)
    return lines.made()


# -- zones -------------------------------------------------------------------------------------------------


def told(zones: int, number: int, rng: random.Random) -> HealthReport:
    seen = {
        f"zone-{zone:02d}": ZoneObservation(
            rng.randint(20, 400), rng.randint(10, 20), 3, 1, rng.randint(200_000, 300_000)
        )
        for zone in range(zones)
    }
    return HealthReport(f"router-{number:05d}", f"zone-{number % zones:02d}", 7, 1_234.5, seen)


def judged(zones: int, routers: int, rng: random.Random) -> tuple[int, bytes]:
    """The owner's token, and the evidence as it is sent to it."""
    jobs = LeaseState()
    jobs.apply(1, raw(RenewLease("owner", "", 1, True, {})))
    jobs.apply(2, raw(DefineJob(JOB)))
    part = FailoverState(jobs)
    names = [f"zone-{zone:02d}" for zone in range(zones)]
    for at, name in enumerate(names):
        far = {other: 30_000 for other in names if other != name}
        part.apply(10 + at, raw(DefineZone(name, f"region-{at % 6}", 130_000.0, far)))
    for number in range(routers):
        what = told(zones, number, rng)
        part.apply(100 + number, raw(what))
        if what.router not in part.routers:  # over the bound of the part: put in beside it
            part.routers[what.router] = RouterHealth(
                what.zone, what.plan_version, what.offered, what.observations, 100 + number
            )
    return jobs.jobs[JOB].fencing_token, encode(part.dump())


def judge(effort: Effort) -> list[Line]:
    lines = Lines("judge")
    lines.kind("judge.look_ms", "routers", "ms a look", "17 zones; the evidence decoded, the order made")
    lines.kind("judge.look_kb", "routers", "KB a look", "17 zones; the evidence, from the leader")
    lines.kind("router.tell_bytes", "zones", "bytes a report")
    decoder = msgspec.msgpack.Decoder(FailoverSnapshot)
    for count in effort.sizes((17, 51, 200, 600, 1_024, 3_300), (2, 4, 6, 8)):
        token, data = judged(17, count, random.Random(effort.seed))
        lines.add("judge.look_kb", count, len(data) / 1e3)
        controller = FailoverController(token)
        now = [0]

        def look(
            controller: FailoverController = controller, data: bytes = data, now: list[int] = now
        ) -> None:
            now[0] += 300_000
            seen = decoder.decode(data)
            for each in controller.plan_next_step(
                now[0] % 1_200_000, seen.zones, seen.plan, seen.routers, seen.overrides
            ):
                encode(each)

        for _ in range(effort.runs(5)):
            lines.add("judge.look_ms", count, enough(look, effort.seconds(0.3)) * 1e3)
    for zones in effort.sizes((2, 4, 8, 17, 32), (2, 4, 6, 8)):
        lines.add("router.tell_bytes", zones, len(encode(("zones", told(zones, 1, random.Random(1))))))
    return lines.made()
