"""The fleet's return after a power loss by its nodes, and a flow collector by what comes in; in process."""

from __future__ import annotations

import random

import msgspec

from benchmarks.capacity import SECOND, Effort, Lines, enough, took
from benchmarks.flows import record
from lichencleat.capacity.slopes import Line
from lichencleat.flows.channel import Channel, Wire
from lichencleat.flows.collector import Collector
from lichencleat.flows.elements import Elements
from lichencleat.recovery.messages import NodeReport, NodeState, NodeStatus, RolloutPlan
from lichencleat.recovery.planner import RolloutPlanner
from lichencleat.recovery.state import FleetSnapshot
from lichencleat.testkit.simulation.revive import DURATION_SECONDS, World

encode = msgspec.msgpack.encode
BATCH = 20_000  # records


def revive(effort: Effort) -> list[Line]:
    lines = Lines("revive")
    lines.kind(
        "planner.look_ms", "nodes", "ms a look", "a return under way; the fleet decoded, the wave made"
    )
    lines.kind("planner.look_kb", "nodes", "KB a look", "of the fleet, from the leader")
    lines.kind("node.report_bytes", "nodes", "bytes a report", "of its entry in the log")
    decoder = msgspec.msgpack.Decoder(FleetSnapshot)
    for count in effort.sizes((50, 200, 800, 2_000, 3_300), (4, 8, 12, 16)):
        rng = random.Random(effort.seed)
        nodes = {}
        for number in range(count):
            opened = number % 3 == 0
            status, share = (NodeStatus.OPEN, 0.66) if opened else (NodeStatus.SHUT, 0.0)
            nodes[f"node-{number:05d}"] = NodeState(
                f"zone-{number % 17:02d}",
                rng.getrandbits(40),
                True,
                status,
                share,
                1_000_000 + number,
                1_700_000_000_000_000 + number,
                True,
                True,
                rng.uniform(0.3, 0.7),
                1,
                rng.uniform(0.8, 1.2),
            )
        data = encode(FleetSnapshot(3, nodes, RolloutPlan(count / 3, 1, False, 0, 0.4, "wave 1")))
        lines.add("planner.look_kb", count, len(data) / 1e3)
        report = NodeReport(f"node-{count:05d}", "zone-01", 1 << 39, True, 3, 1 << 50, True, True, 0.5, 1.1)
        lines.add("node.report_bytes", count, len(encode(("fleet", report))) + 32)
        planner = RolloutPlanner(1)
        now = [0]

        def look(planner: RolloutPlanner = planner, data: bytes = data, now: list[int] = now) -> None:
            now[0] += 300_000
            seen = decoder.decode(data)
            for each in planner.plan_next_step(now[0] % 3_000_000, seen.epoch, seen.nodes, seen.plan):
                encode(each)

        for _ in range(effort.runs(5)):
            lines.add("planner.look_ms", count, enough(look, effort.seconds(0.3)) * 1e3)
    return lines.made()


def back(effort: Effort) -> list[Line]:
    """The whole return, played in the simulation's own model of nodes and what they share below."""
    lines = Lines("return", simulated=True)
    lines.kind("fleet.to_90_s", "nodes", "s", "until nine tenths are served for good; a model of nodes")
    for number in range(effort.runs(3)):
        for count in effort.sizes((50, 200, 800, 2_000), (4, 6, 8, 10)):
            ran = World(count, effort.seed + number, "plan").play()
            lines.add(
                "fleet.to_90_s", count, DURATION_SECONDS if ran.recovery_time is None else ran.recovery_time
            )
    return lines.made()


def collector(effort: Effort) -> list[Line]:
    """IPFIX over UDP, as the exporters make it: seconds of the processor for so many records a second."""
    lines = Lines("collector")
    lines.kind("collector.core", "records a second", "of a core", "one sender; without the socket")
    lines.kind("collector.bytes_s", "records a second", "bytes a second")
    batch = 200 if effort.quick else BATCH
    channel = Channel(Wire.IPFIX_UDP, Elements(), 1, 1_400, batch, SECOND)
    for number in range(batch):
        channel.queue.offer(record(number))
    messages = []
    while made := channel.next_messages(SECOND):
        messages += made
    for rate in effort.sizes((1_000, 5_000, 10_000, 20_000), (50, 100, 150, 200)):
        some = messages[: max(2, len(messages) * rate // batch)]
        lines.add("collector.bytes_s", rate, sum(map(len, some)))
        for _ in range(effort.runs(5)):
            taker = Collector(Elements())
            session = taker.get_session("one")

            def take(some: list[bytes] = some, taker: Collector = taker, session=session) -> None:
                for each in some:
                    taker.add_records(session.decode_message(each))

            spent = took(take, 1)
            lines.add("collector.core", rate, spent / taker.sums.total.records * rate)
    return lines.made()


def senders(effort: Effort) -> list[Line]:
    """What a collector keeps of its senders."""
    lines = Lines("senders")
    lines.kind("collector.sender_us", "senders", "µs a message", "of one record each, from all in turn")
    for count in effort.sizes((32, 64, 128, 256), (2, 4, 6, 8)):
        channel = Channel(Wire.IPFIX_UDP, Elements(), 1, 1_400, 10, SECOND)
        channel.queue.offer(record(1))
        messages = list(channel.next_messages(SECOND))
        taker = Collector(Elements())
        names = [f"sender-{number}" for number in range(count)]

        def all_(taker: Collector = taker, names: list[str] = names, messages=messages) -> None:
            for name in names:
                for each in messages:
                    taker.add_records(taker.get_session(name).decode_message(each))

        spent = [enough(all_, effort.seconds(0.2)) for _ in range(effort.runs(5))]
        for each in spent:
            lines.add("collector.sender_us", count, each / count / len(messages) * 1e6)
    return lines.made()
