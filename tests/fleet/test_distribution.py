"""Configuration distribution by real processes with faults; all tests share one cluster.

Each test ends its faults. After each test every version that any node ever reported is checked.
"""

import random

import pytest

from lichencleat.config_distribution.terms import DIGESTS, FOLLOW, PAGES_OF
from lichencleat.testkit.cluster.distribution import DistributionRig
from lichencleat.testkit.cluster.rig import GROUP
from lichencleat.testkit.cluster.tap import monotonic_us


@pytest.fixture(scope="module")
def rig(tmp_path_factory):
    made = DistributionRig(tmp_path_factory.mktemp("distribution"))
    try:
        made.start()
        yield made
    finally:
        made.close()


@pytest.fixture(autouse=True)
def check_after_test(rig):
    """Check after each test that all watchers get the newest version and that no report violates a rule."""
    yield
    rig.publish()
    rig.wait_for_version()


def names(rig, zone):
    return [name for name, each in rig.watchers.items() if each.zone == zone]


def requests_since(rig, since, caller=None, server=None):
    return [
        each
        for each in list(rig.relays.requests)
        if each.at >= since and caller in (None, each.caller) and server in (None, each.server)
    ]


def version_of(rig, each):
    rig.read_output()
    return each.last.get("version", 0)


def test_published_version_reaches_all_watchers_through_both_tiers(rig):
    version = rig.publish()
    rig.wait_for_version(version)
    assert rig.watch.heard and rig.watch.wrong is None
    rig.until(
        lambda: rig.all_follow_first_choice(rig.watchers), "all watchers to follow their first choice"
    )  # some watchers started before their relay
    since = monotonic_us()
    rig.publish()
    rig.wait_for_version()
    rig.until(
        lambda: len({each.caller for each in requests_since(rig, since)}) >= 12, "a request of each process"
    )
    callers = {
        server: {each.caller for each in requests_since(rig, since, server=server)}
        for server in rig.relay_processes
    }
    assert callers["ra"] <= {"a1", "a2"} and callers["a1"] | callers["a2"] >= set(names(rig, "a"))


def test_nodes_of_a_killed_relay_move_to_another_and_return_after_its_restart(rig):
    rig.until(
        lambda: rig.all_follow_first_choice(names(rig, "a")),
        "all watchers of the zone to follow their first choice",
    )
    before = rig.followed_relays(names(rig, "a"))
    killed = max(("a1", "a2"), key=list(before.values()).count)
    there = [name for name, relay in before.items() if relay == killed]
    rig.relay_processes[killed].kill()
    rig.publish()
    rig.wait_for_version()
    assert killed not in rig.followed_relays(there).values()
    rig.relay_processes[killed].start()
    rig.until(
        lambda: set(rig.followed_relays(there).values()) == {killed},
        f"{there} to return to the restarted relay",
    )


def test_a_resumed_relay_does_not_move_nodes_back_to_an_older_version(rig):
    rig.until(
        lambda: rig.all_follow_first_choice(names(rig, "b")),
        "all watchers of the zone to follow their first choice",
    )
    before = rig.followed_relays(names(rig, "b"))
    stopped = max(("b1", "b2"), key=list(before.values()).count)
    rig.relay_processes[stopped].stop()
    for _ in range(3):
        rig.publish()
    rig.wait_for_version()
    assert stopped not in rig.followed_relays([n for n, relay in before.items() if relay == stopped]).values()
    rig.relay_processes[stopped].resume()
    rig.publish()
    rig.wait_for_version()
    rig.until(lambda: rig.all_follow_first_choice(before), "all watchers to return to their first choice")


def test_a_node_started_from_its_disk_requests_only_newer_versions(rig):
    name = "a-n1"
    node = rig.watchers[name]
    had = rig.request_lines([name])[name]["version"]
    node.kill()
    rig.publish()
    since = monotonic_us()
    node.start()
    rig.wait_for_version()
    (start_line,) = [each for each in node.lines if each["why"] == "started" and each["at"] >= since]
    assert 0 < start_line["version"] <= had and not start_line["trouble"]
    requests = requests_since(rig, since, caller=name)
    assert requests[0].operation == FOLLOW and requests[0].version == start_line["version"]
    assert not [each for each in requests if each.operation in (DIGESTS, PAGES_OF)]


def test_a_relay_restored_from_an_old_copy_is_not_followed(rig):
    old, other = rig.relay_processes["a1"], rig.relay_processes["a2"]
    copy = old.copy_directory()
    rig.publish()
    rig.wait_for_version()
    old.kill()
    other.kill()
    old.restore_directory(copy)
    pairs = {(old.name, name) for name in ("ra", *rig.voters)}  # the restored relay can't catch up
    rig.relays.block(pairs)
    since = monotonic_us()
    old.start()
    rig.until(lambda: requests_since(rig, since, server="a1"), "a request to the restored relay")
    rig.publish()
    rig.wait_for_version()
    rig.until(
        lambda: set(rig.followed_relays(names(rig, "a")).values()) == {"ra"},
        "all watchers of the zone to follow the region's relay",
    )
    rig.heal(pairs)
    other.start()
    rig.until(
        lambda: "ra" not in rig.followed_relays(names(rig, "a")).values(),
        "all watchers of the zone to follow the zone's relays",
    )


def test_a_partitioned_region_reports_the_age_of_its_version_and_catches_up(rig):
    rig.publish()
    rig.wait_for_version()
    here, version = names(rig, "a"), rig.version
    pairs = rig.block_traffic(rig.processes_in_region("a"))
    rig.publish()
    rig.wait_for_version(names=names(rig, "b"))

    def ages_are_high() -> bool:
        said = rig.request_lines(here).values()
        assert all(each["version"] == version for each in said)
        return all(each["age"] > 2_000_000 for each in said)

    rig.until(ages_are_high, "the region's nodes to report an age above 2 s")
    rig.heal(pairs)
    rig.wait_for_version()
    rig.until(
        lambda: all(each["age"] < 3_000_000 for each in rig.request_lines(here).values()),
        "the region's nodes to report an age below 3 s",
    )


def test_status_reports_the_version_in_force_in_each_zone(rig):
    version = rig.publish()

    def status_is_current() -> bool:
        said = rig.distribution_status()
        zones = {each["zone"]: each for each in said["zones"]} if said else {}
        return said and all(
            zones.get(zone, {}).get("nodes") == 3
            and zones[zone]["lowest"] == version
            and zones[zone]["late"] == 0
            for zone in rig.zones
        )

    rig.until(status_is_current, "status to report the newest version at all nodes of both zones")


def test_checkers_find_watchers_with_an_injected_bug(rig):
    wrong = {
        "two turns": ("half a batch", "two digests", "not as published", "two answers"),
        # The bug drops one record of a pair. Which violation is reported depends on whether this watcher or
        # a correct one is the first to report the version.
        "lost change": ("half a batch", "two digests", "not as published", "two answers"),
        "early word": ("acknowledged before",),
    }
    made = {rig.add_faulty_watcher(mistake, "b").name: told for mistake, told in wrong.items()}
    for name in made:
        rig.faulty_watchers[name].start()
    rig.until(
        lambda: all(version_of(rig, rig.faulty_watchers[name]) for name in made),
        "the watchers with a bug to have a version",
    )

    def all_found() -> bool:
        rig.publish()
        rig.wait_for_version()
        return all(rig.check_faulty_watcher(name) for name in made)

    rig.until(all_found, "the checkers to find each bug")
    for name, told in made.items():
        said = rig.check_faulty_watcher(name)
        assert name in said and any(each in said for each in told), said
        rig.faulty_watchers[name].kill()


def test_checkers_find_a_watcher_that_follows_an_older_relay(rig):
    new, old = rig.relay_processes["b1"], rig.relay_processes["b2"]
    pairs = {(above, old.name) for above in ("rb", *rig.voters)}
    rig.relays.block(pairs)
    rig.publish()
    rig.wait_for_version()
    made = rig.add_faulty_watcher("older relay", "b", [[new.address], [old.address]])
    made.start()
    rig.until(lambda: version_of(rig, made) == rig.version, "the watcher to have the newest version")
    assert rig.check_faulty_watcher(made.name) is None
    apart = {(new.name, made.name), (made.name, new.name)}
    rig.relays.block(apart)
    rig.relays.reset(new.name)
    rig.until(lambda: rig.check_faulty_watcher(made.name), "the watcher to go back to the older version")
    assert "goes back" in rig.check_faulty_watcher(made.name)
    made.kill()
    rig.heal(pairs | apart)


def test_a_half_written_table_is_not_used_and_checkers_find_a_watcher_that_uses_it(rig):
    right, wrong = rig.watchers["b-n1"], rig.add_faulty_watcher("torn file", "b")
    rig.publish()
    rig.wait_for_version()
    right.kill()
    assert right.delete_half_of_pages(rig.rng)
    wrong.copy_files_of(right)
    since = monotonic_us()
    right.start()
    wrong.start()
    rig.wait_for_version()
    (start_line,) = [each for each in right.lines if each["why"] == "started" and each["at"] >= since]
    assert start_line["version"] == 0 and "corrupt" in start_line["trouble"]
    rig.until(
        lambda: rig.check_faulty_watcher(wrong.name),
        "the checkers to find the watcher that uses the half-written table",
    )
    assert "two digests" in rig.check_faulty_watcher(wrong.name) or "two answers" in rig.check_faulty_watcher(
        wrong.name
    )
    wrong.kill()


def test_a_real_node_knows_the_published_tenants_while_its_relays_fail(rig):
    from lichencleat.testkit.cluster.nodes import HARD_LIMIT, RigNode

    followed = {
        "group": GROUP,
        "zone": "a",
        "sources": rig.sources("a"),
        "directory": str(rig.path / "node"),
        "tenants": True,
    }
    node = RigNode(rig, "node", {"distribution": followed, "log": {}}, work=0.005)
    caller = node.caller()
    rng = random.Random(1)

    def answer(tenant):
        """Return the HTTP status for a tenant. Retries, as a refusal closes the connection."""

        def ask():
            asked = rig.relays.call(lambda: caller.ask(b"look", b"x", HARD_LIMIT, rng, t=tenant))
            if asked is not None:
                rig.until(lambda: asked.answers or asked.lost, "an answer")
            return asked and asked.answers and asked.answers[0][0]

        return rig.until(ask, f"an answer for {tenant}")

    def knows(tenant, not_known):
        """Whether the node serves the first tenant and refuses the second."""
        return answer(tenant) == b"200" and answer(not_known) == b"500"

    try:
        rig.publish({"tenant/acme": {"tenant": "acme"}})
        node.start()
        rig.until(lambda: knows("acme", "nobody"), "the first tenant to be in force at the node")
        for each in ("a1", "a2"):
            rig.relay_processes[each].kill()
        rig.publish({"tenant/acme": None, "tenant/other": {"tenant": "other"}})
        rig.until(lambda: knows("other", "acme"), "the next version to be in force at the node")
        node.kill()
        pairs = rig.block_traffic({"node"})
        node.start()
        rig.until(lambda: knows("other", "acme"), "the restarted node to use the version on its disk")
        rig.heal(pairs)
    finally:
        for each in ("a1", "a2"):
            if not rig.relay_processes[each].is_up():
                rig.relay_processes[each].start()
        if node.is_up():
            node.kill()
        node.close()
