"""Writes golden directories and state transcripts into `tests/compatibility/data`, with the code of 3273848.

Like `generate.py` it was run once, by that commit's code under its former package names, and cannot run in
the current tree (from the repository's root, `/tmp/base` a clone checked out at 3273848):

    PYTHONPATH=/tmp/base .venv/bin/python tests/compatibility/generate_directories.py
"""

from __future__ import annotations

import dataclasses
import random
import shutil
from hashlib import sha256
from pathlib import Path
from typing import Any

import msgspec
from generate import DATA, module, plain, write_json
from twisted.internet.defer import execute
from twisted.internet.task import Clock

NOW_US = 1_780_000_000_000_000  # Unix time at which all directories were written
SEGMENT_BYTES = 64 << 10
DISK_BYTES = 8 << 20

bounds = module("store.room").Bounds
batch = module("store.batch").Batch
terms = module("quorum.terms")
facts = module("quorum.facts")
owners = module("owners.terms")
shares = module("shares.terms")
revive = module("revive.terms")
zones = module("zones.terms")
source = module("distribution.source")
distribution = module("distribution.terms")


def new_directory(name: str) -> Path:
    """An empty directory among the golden data."""
    path = DATA / name
    shutil.rmtree(path, ignore_errors=True)
    path.mkdir()
    return path


def open_engine(path: Path, seed: int) -> Any:
    """The store in that directory."""
    disk = module("store.disk").RealDisk(str(path), create=True)
    most = bounds(segment_bytes=SEGMENT_BYTES, disk_bytes=DISK_BYTES, reserve=False)
    return module("store.engine").Engine.open(disk, lambda: NOW_US, random.Random(seed), most, create=True)


def commit(engine: Any, *batches: Any) -> None:
    """One commit, which must succeed."""
    assert engine.commit(list(batches)) == [None] * len(batches)


def as_list(record: Any) -> list[Any]:
    """A dataclass' values by position."""
    return [getattr(record, field.name) for field in dataclasses.fields(record)]


# -- a store ---------------------------------------------------------------------------------------------


def make_store() -> dict[str, Any]:
    """Several segments, a checkpoint, deleted, replaced and expired records."""
    path = new_directory("store")
    engine = open_engine(path, 1)
    rng = random.Random(2)
    for number in range(60):
        made = batch().put(b"key %03d" % number, rng.randbytes(1_000))
        commit(engine, made.put(b"small %03d" % number, b"value %d" % number))
    for number in range(0, 60, 4):
        commit(engine, batch().delete(b"key %03d" % number))
    commit(engine, batch().put(b"expired", b"long ago", NOW_US - 1))
    commit(engine, batch().put(b"expires", b"in a day", NOW_US + 86_400_000_000))
    commit(engine, batch().put("schlüssel".encode(), b"\x00\xff").put(b"empty", b""))
    engine.clean_all()
    while engine.left():
        engine.step()
    engine.points.begin()
    while engine.left():
        engine.step()
    for number in range(1, 60, 8):
        commit(engine, batch().put(b"small %03d" % number, b"replaced").delete(b"key %03d" % number))
    engine.close()
    engine = open_engine(path, 3)
    content = {key.hex(): sha256(value).hexdigest() for key, value in engine.scan(b"")}
    found = {"files": sorted(each.name for each in path.iterdir()), "content": content}
    found["stat"] = engine.stat()
    engine.give_back()  # nothing more is written
    return found


# -- the replicated state --------------------------------------------------------------------------------


class Transcript:
    """Applies entries to a state and records what each gave."""

    def __init__(self, parts: Any) -> None:
        self.parts = parts
        self.state = module("quorum.state").State(parts())
        self.entries: list[Any] = []
        self.records: list[dict[str, Any]] = []
        self.dumps: dict[str, str] = {}

    def apply(self, entry: Any) -> Any:
        """The entry's result, decoded."""
        self.entries.append(entry)
        verdict, result = self.state.apply(len(self.entries), entry)
        record = {
            "entry": msgspec.msgpack.encode(entry).hex(),
            "verdict": int(verdict),
            "result": result.hex(),
        }
        self.records.append(record)
        return msgspec.msgpack.decode(result) if result else None

    def command(self, part: str, what: Any, session: int = 0, number: int = 0) -> Any:
        """A command of that part."""
        data = module("quorum.state").command(part, what)
        return self.apply(terms.Entry(3, terms.What.COMMAND, data, session, number))

    def snapshot(self) -> Any:
        """The state so far."""
        data = self.state.dump()
        self.dumps[str(len(self.entries))] = data.hex()
        return terms.Snapshot(len(self.entries), 3, GROUP, data)

    def read(self, part: str, query: Any) -> dict[str, Any]:
        """An answer to be recorded."""
        answer = self.state.read(part, query)
        return {"part": part, "query": plain(query), "answer": msgspec.msgpack.encode(answer).hex()}

    def record(self, reads: list[dict[str, Any]]) -> dict[str, Any]:
        """All that is to be found again."""
        self.snapshot()
        return {"entries": self.records, "dumps": self.dumps, "reads": reads}


GROUP = terms.Group(
    (
        terms.Member(11, "v1", "127.0.0.1", 7001, True, "north"),
        terms.Member(12, "v2", "127.0.0.1", 7002, True, "south"),
        terms.Member(13, "v3", "127.0.0.1", 7003, False),
    )
)


def begin(transcript: Transcript) -> int:
    """What stands at the beginning of a log; a session's number."""
    transcript.apply(terms.Entry(1, terms.What.NOTHING))
    transcript.apply(terms.Entry(1, terms.What.GROUP, msgspec.msgpack.encode(GROUP)))
    transcript.apply(terms.Entry(2, terms.What.SESSION))
    return len(transcript.entries)


def use_facts(transcript: Transcript, session: int) -> None:
    """Facts, and what a session makes of repeated, late and early proposals."""
    give = transcript.command
    give("facts", facts.Set("limit", b"40"), session, 1)
    give("facts", facts.Set("limit", b"40"), session, 1)
    give("facts", facts.Set("limit", b"41", 0), session, 2)
    give("facts", facts.Set("limit", b"42", 4), session, 3)
    give("facts", facts.Set("gone", b"soon"), session, 2)
    give("facts", facts.Set("gone", b"soon"), session, 9)
    give("facts", facts.Set("gone", b"soon"), session + 1_000, 1)
    give("facts", facts.Set("gone", b"soon"))
    give("facts", facts.Set("gone", None))
    give("facts", ["no command"])
    give("no such part", facts.Set("a", b"b"))
    give("parts", ["facts"])
    transcript.apply(terms.Entry(3, terms.What.COMMAND, b"\xc1"))


def use_owners(transcript: Transcript) -> None:
    """Jobs given away, moved, crashed, put aside; candidates that come, leave and are gone."""
    give = transcript.command
    for job, near in (
        ("revive", ""),
        ("zones", "north"),
        ("shares/db", ""),
        ("report", "south"),
        ("old", ""),
    ):
        give("owners", owners.Define(job, near))
    give("owners", owners.Renew("a", "north", 101, True, {}))
    give("owners", owners.Renew("b", "south", 102, True, {}, ["rep", "shares/"]))
    give("owners", owners.Renew("c", "south", 103, False, {}))
    give("owners", owners.Renew("a", "north", 999, True, {}))
    give("owners", owners.Renew("d", "", 104, True, {"old": 1}))
    give("owners", owners.Drop("old"))
    give("owners", owners.Drop("old"))
    for _ in range(3):
        job = transcript.state.parts["owners"].jobs["report"]
        if job.owner:
            give("owners", owners.Release(job.owner, "report", job.token, True))
    give("owners", owners.Release("a", "report", 1))
    give("owners", owners.Move("zones", "b"))
    give("owners", owners.Move("zones", "nobody"))
    give("owners", owners.Renew("a", "north", 101, True, {}))
    candidates = transcript.state.parts["owners"].candidates
    give("owners", owners.Gone("c", candidates["c"].renewed))
    give("owners", owners.Gone("a", 1))
    give("owners", owners.Renew("e", "north", 105, True, {}))
    give("owners", owners.Leave("e", 105))
    give("owners", owners.Leave("e", 105))


def token(transcript: Transcript, job: str) -> int:
    """Of that job's owner."""
    found = transcript.state.parts["owners"].jobs[job]
    assert found.owner, f"{job} has no owner"
    return int(found.token)


def use_shares(transcript: Transcript) -> None:
    """Pools defined, asked for, dealt, taken back."""
    give = transcript.command
    give("shares", shares.Define("db", 100, 2, 10, 1_000_000))
    give("shares", shares.Define("search", 50, 1, 5))
    give("shares", shares.Define("unfit", 5, 1, 10))
    for turn in (1, 2):
        for node, need in (("n1", 30), ("n2", 5)):
            give("shares", shares.Ask("db", node, 7, turn, 2, 1_000_000, 2, need))
        give("shares", shares.Deal("db", token(transcript, "shares/db"), {"n1": 40, "n2": 6}))
    give("shares", shares.Ask("db", "n1", 7, 3, 2, 1_000_000, 2, 35))
    give("shares", shares.Ask("db", "n1", 8, 1, 2, 1_000_000, 2, 35))
    give("shares", shares.Ask("db", "n2", 7, 1, 2, 1_000_000, 2, 5))
    give("shares", shares.Ask("search", "n1", 7, 1, 3, 5_000_000, 2, 5))
    give("shares", shares.Deal("db", 1, {"n1": 1}))
    give("shares", shares.Part(token(transcript, "revive"), 0.25))
    seats = transcript.state.parts["shares"].pools["db"].seats
    give("shares", shares.Over("db", token(transcript, "shares/db"), "n2", seats["n2"].renewed))
    give("shares", shares.Over("db", token(transcript, "shares/db"), "n2", 1))
    give("shares", shares.Forget("db", "n9"))
    give("shares", shares.Drop("db"))
    give("shares", shares.Drop("search"))


def use_revive(transcript: Transcript) -> None:
    """Nodes that report, an epoch, waves of a return, an operator's word."""
    give = transcript.command
    for number in range(5):
        clock = NOW_US + (60_000_000 if number == 4 else number)
        ready = number != 3
        node = f"n{number}"
        give(
            "revive", revive.Report(node, "north", 50 + number, number > 1, 0, clock, ready, True, 0.5, 1.25)
        )
    owner = token(transcript, "revive")
    give("revive", revive.NewEpoch(owner, 1, "most of the nodes woke at once"))
    give("revive", revive.NewEpoch(owner, 1, "again"))
    plan = revive.Plan(1.5, 1, False, 0, 0.3, "first wave")
    give("revive", revive.Wave(owner, {"n0": 0.34, "n1": 1.0}, plan))
    give("revive", revive.Hold(True))
    give("revive", revive.Wave(owner, {"n2": 0.34}, plan))
    give("revive", revive.Hold(False))
    give("revive", revive.Report("n0", "north", 50, True, 2, NOW_US, True, True, 0.75, 1.5))
    give("revive", revive.Report("n4", "north", 54, True, 2, NOW_US + 60_000_000, True, True, 0.75))
    give("revive", revive.Skip("n2"))
    nodes = transcript.state.parts["revive"].nodes
    give("revive", revive.Lost(owner, "n3", nodes["n3"].beat))
    give("revive", revive.Lost(1, "n3", 1))
    give("revive", revive.Leave("n1", 51))
    give("revive", revive.Leave("n1", 51))
    give("revive", revive.Forget("n4"))
    give("revive", revive.Hold(True))


def use_zones(transcript: Transcript) -> None:
    """Zones, evidence, orders, wishes."""
    give = transcript.command
    give("zones", zones.Define("north", "r1", 100.0, {"south": 8_000}))
    give("zones", zones.Define("south", "r1", 80.5, {"north": 8_000}))
    give("zones", zones.Define("east", "r2", 60.0))
    give("zones", zones.Define("none", "r2", 0.0))
    seen = {"north": zones.Seen(100, 90, 5, 5, 12_000), "south": zones.Seen(10, 10, 0, 0, 20_000)}
    give("zones", zones.Tell("router-1", "north", 0, 77.5, seen))
    give("zones", zones.Tell("router-2", "south", 0, 12.25, {}))
    owner = token(transcript, "zones")
    order = zones.Order(
        0, 0, {"north": 2, "south": 1}, {"south": 20.0}, {"north": 0.125}, "north loses a third"
    )
    give("zones", zones.Give(owner, 0, order))
    give("zones", zones.Give(owner, 0, order))
    give("zones", zones.Give(1, 1, order))
    give("zones", zones.Learn(owner, "south", 81.25))
    give("zones", zones.Wish("east", 4))
    give("zones", zones.Give(owner, 1, order))
    give("zones", zones.Unwish("east", 1))
    give("zones", zones.Unwish("east"))
    give("zones", zones.Wish("north", 3, 60_000_000))
    give("zones", zones.Give(owner, 1, zones.Order(duties={"north": 3}, why="a drill")))
    give("zones", zones.Drop("east"))
    give("zones", zones.Drop("nowhere"))
    give("zones", zones.Tell("router-1", "north", 2, 70.0, seen))


def control_transcript() -> tuple[Transcript, Any, dict[str, Any]]:
    """The state of a control group, a snapshot from the midst of its log, and what is recorded."""
    transcript = Transcript(module("quorum.program").parts)
    session = begin(transcript)
    use_facts(transcript, session)
    use_owners(transcript)
    transcript.command("parts", None)
    use_shares(transcript)
    snapshot = transcript.snapshot()
    use_revive(transcript)
    use_zones(transcript)
    queries = [("facts", "limit"), ("facts", "none"), ("owners", None), ("shares", None), ("shares", "db")]
    queries += [("revive", None), ("zones", None), ("zones", "history"), ("no such part", None)]
    return transcript, snapshot, transcript.record([transcript.read(*each) for each in queries])


def distribution_transcript() -> tuple[Transcript, Any, dict[str, Any]]:
    """The same of a group for configuration."""
    transcript = Transcript(module("quorum.program").distribution_parts)
    begin(transcript)
    rng = random.Random(5)

    def publish(names: range, only_if: int | None = None) -> None:
        changes = tuple(
            distribution.Change("tenant", f"t{each}", rng.choice([None, b"%d" % rng.getrandbits(200)]))
            for each in names
        )
        transcript.command("distribution", source.Publish(changes, only_if))

    publish(range(30), 0)
    publish(range(0, 40, 3))
    publish(range(3), 1)
    route = distribution.Change("route", "/märz", "größer".encode())
    transcript.command("distribution", source.Publish((route,)))
    transcript.command("distribution", source.Publish((route,)))
    transcript.command("distribution", source.Publish((route, route)))
    snapshot = transcript.snapshot()
    publish(range(10, 60))
    publish(range(100, 200))
    version = transcript.state.parts["distribution"].table.version
    queries = [
        source.Find("route", "/märz"),
        source.Find("tenant", "t3", 4),
        source.Find("tenant", "t3", version),
        source.Find("tenant", "t3", version + 1),
        source.Diff(4, version),
        source.Diff(4, 5, 2),
        source.Diff(0, version + 1),
        source.Stands(),
    ]
    reads = [transcript.read("distribution", msgspec.to_builtins(each)) for each in queries]
    return transcript, snapshot, transcript.record(reads)


# -- a member's directory --------------------------------------------------------------------------------


def make_member(name: str, made: tuple[Transcript, Any, dict[str, Any]], piece_most: int) -> dict[str, Any]:
    """The log up to the snapshot is cut; the rest and the lives of the others stand beside it."""
    transcript, snapshot, _ = made
    path = new_directory(name)
    engine = open_engine(path, 7)
    journal_module, seats = module("quorum.journal"), module("quorum.seats")
    journal = journal_module.Journal(piece_most)
    identity = seats.Identity(b"mark of8", "fleet", "v1", 11, 4, name == "member_distribution")
    founding = journal.found(module("quorum.state").founded(GROUP))
    commit(engine, founding.put(seats.IDENTITY, msgspec.msgpack.encode(identity)))
    entries, index = tuple(transcript.entries), snapshot.index
    saves = [
        terms.Save(1, 1, 11, 1, entries[:5], 5, 0),
        terms.Save(2, 3, 12, 6, entries[5:], len(entries), 0),
        terms.Save(3, 3, 12, len(entries) + 1, (), len(entries), index, snapshot),
    ]
    for save in saves:
        for piece in journal.pieces(save):
            commit(engine, piece)
        commit(engine, journal.batch(save))
    lives = {12: seats.Life(3, 0xABCDEF), 13: seats.Life(9, 77)}
    for seat, life in lives.items():
        key = module("quorum.process").LIFE + seat.to_bytes(8, "big")
        commit(engine, batch().put(key, msgspec.msgpack.encode(life)))
    engine.close()
    engine = open_engine(path, 8)
    durable = journal_module.Journal().load(engine.get)
    assert durable.entries == list(entries[index:]) and durable.snapshot == snapshot
    woken = seats.wake_up(engine.get, random.Random(1), "fleet", "v1")
    found = {
        "files": sorted(each.name for each in path.iterdir()),
        "keys": [key.hex() for key, _ in engine.scan(b"")],
        "durable": [msgspec.msgpack.encode(each).hex() for each in as_list(durable)],
        "identity_at_the_next_start": msgspec.msgpack.encode(woken).hex(),
        "lives": {str(seat): msgspec.msgpack.encode(life).hex() for seat, life in lives.items()},
    }
    engine.give_back()
    return found


# -- a node's directory ----------------------------------------------------------------------------------


def make_keyed() -> dict[str, Any]:
    """Entries of each state, the owner, the last sign of life, the boot record, what was learned."""
    path = new_directory("keyed")
    engine = open_engine(path, 9)
    records, boot, figures = module("keyed.records"), module("revive.boot"), module("revive.figures")
    seat = module("revive.seat")
    own = 5_000_000_000
    entries = {
        b"key-open": records.Entry(1, "booking", own - 3, own + 9_000_000, own + 50, b"id1", b"b" * 16),
        b"key-done": records.Entry(
            2, "booking", own - 2, own + 8_000_000, own + 60, b"id2", b"c" * 16, b"{}"
        ),
        b"key-failed": records.Entry(3, "refund", own - 1, own + 7_000_000, own + 70, b"id3", b"d" * 16),
        b"key-late": records.Entry(2, "refund", 1, 2_000_000, 90, b"id4", b"e" * 16, b"old"),
    }
    for key, entry in entries.items():
        commit(engine, batch().put(records.mark(key), records.encode(entry)))
    commit(engine, batch().put(records.WHOSE, records.encode(records.Whose(1, "node-1", 4_711))))
    commit(engine, batch().put(records.SEEN, records.encode(records.Seen(own, NOW_US))))
    before = boot.Boot(1, 6, False, NOW_US, "fleet", 3)
    commit(engine, batch().put(seat.BOOT, boot.encode(before)))
    learned = figures.to_keep(2.0, {"booking": 1_500, "old": 9}, {"refund": 2_500})
    commit(engine, batch().put(seat.FIGURES, learned))
    engine.close()
    longest = {"booking": 1_000_000, "refund": 2_000}
    return {
        "files": sorted(each.name for each in path.iterdir()),
        "marks": {key.decode(): records.mark(key).hex() for key in entries},
        "entries": {key.decode(): plain(as_values(entry)) for key, entry in entries.items()},
        "whose": [1, "node-1", 4_711],
        "seen": [own, NOW_US],
        "boot": as_values(before),
        "boot_of_the_next_start": as_values(
            boot.begun(boot.found(boot.encode(before), "fleet"), NOW_US, "fleet")
        ),
        "longest": longest,
        "recalled": figures.recalled(learned, 2.0, longest)[0],
    }


def as_values(message: Any) -> list[Any]:
    """A message's values by position."""
    return [getattr(message, name) for name in message.__struct_fields__]


# -- a configuration's last version ----------------------------------------------------------------------


def at_once(call: Any, *args: Any) -> Any:
    """In place of the store's threads."""
    return execute(call, *args)


def result(deferred: Any, clock: Clock) -> Any:
    """What it fires with, each slice of work a turn of the clock."""
    found: list[Any] = []
    deferred.addBoth(found.append)
    while not found:
        clock.advance(0)
    if hasattr(found[0], "raiseException"):
        found[0].raiseException()
    return found[0]


def make_kept() -> dict[str, Any]:
    """Some batches on top of the first version, and the group's mark."""
    path = new_directory("kept")
    clock, engine = Clock(), open_engine(path, 12)
    store = module("store.store").Store(clock, engine, at_once, at_once, upkeep=False)
    kept = result(module("distribution.kept").made_kept(clock, store, "fleet", print), clock)
    table, rng = module("distribution.table").Table(), random.Random(13)
    kept.mark(b"mark of8")
    for version in (3, 4, 9):
        changes = [
            distribution.Change("tenant", f"t{each}", rng.choice([None, b"%d" % version]))
            for each in rng.sample(range(40), 12)
        ]
        kept.wrote(table, [table.apply(version, changes)])
    result(kept.close(), clock)
    engine = open_engine(path, 14)
    store = module("store.store").Store(clock, engine, at_once, at_once, upkeep=False)
    kept = result(module("distribution.kept").made_kept(clock, store, "fleet", print), clock)
    loaded, mark, batches = result(kept.load(), clock)
    names = [f"t{each}" for each in range(40)]
    found = {
        "files": sorted(each.name for each in path.iterdir()),
        "version": loaded.version,
        "digest": loaded.digest.hex(),
        "records": loaded.records,
        "bytes": loaded.bytes,
        "mark": mark.hex(),
        "batches": [msgspec.msgpack.encode(each).hex() for each in batches],
        "values": {name: plain(loaded.find("tenant", name)) for name in names},
    }
    engine.give_back()
    return found


def main() -> None:
    """All directories, and what is to be found in them."""
    control, published = control_transcript(), distribution_transcript()
    write_json("states.json", {"control": control[2], "distribution": published[2]})
    directories = {
        "store": make_store(),
        "member": make_member("member", control, 1 << 20),
        "member_distribution": make_member("member_distribution", published, 1_000),
        "keyed": make_keyed(),
        "kept": make_kept(),
    }
    write_json("directories.json", directories)


if __name__ == "__main__":
    main()
