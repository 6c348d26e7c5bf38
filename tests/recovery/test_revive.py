"""Boot records, trust, the fleet's state, the plan, a node's waking, by direct calls; simulated returns."""

import msgspec
import pytest
from msgspec.structs import astuple

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.quotas.quota_state import QuotaState
from lichencleat.recovery.boot_record import (
    BootRecord,
    ClockCheck,
    InvalidBootRecordError,
    check_clock,
    create_record,
    encode_boot_record,
    load_previous,
)
from lichencleat.recovery.messages import (
    JOB,
    ForgetNode,
    NewEpoch,
    NodeLeaving,
    NodeLost,
    NodeReport,
    NodeStatus,
    PauseRollout,
    ReportReply,
    RolloutBatch,
    RolloutPlan,
    SkipNode,
)
from lichencleat.recovery.planner import (
    EPOCH_DELAY_US,
    FIRST_BATCH_FRACTION,
    INITIAL_DEPENDENCY_SHARE,
    OPENING_STEP,
    REPORT_TIMEOUT_US,
    RolloutPlanner,
    opening_order,
)
from lichencleat.recovery.readiness_gate import STANDALONE_DELAY_US, ReadinessGate
from lichencleat.recovery.state import FleetState
from lichencleat.recovery.trust import REQUIRED_PROOF, Item, Proof, Verified, can_serve_keyed, is_trusted
from lichencleat.testkit.explore_revive import MISTAKES, GrantsOfOne, play
from lichencleat.testkit.explore_revive import World as Explored
from lichencleat.testkit.simulation.revive import World

SECOND = 1_000_000
HOUR = 3_600 * SECOND


class Group:
    """The parts of a group's state, with an owner of the return; each command is the next entry."""

    def __init__(self):
        self.jobs, self.index = LeaseState(), 0
        self.fleet, self.pools = FleetState(self.jobs), QuotaState(self.jobs)
        self.owner("o1", 1)

    def enter(self, part, what):
        self.index += 1
        return part.apply(self.index, msgspec.Raw(msgspec.msgpack.encode(what)))

    def __call__(self, what):
        return self.enter(self.pools if isinstance(what, SetAllocatableShare) else self.fleet, what)

    def owner(self, name, life):
        for each, known in list(self.jobs.candidates.items()):
            self.enter(self.jobs, CandidateExpired(each, known.renewal_index))
        self.enter(self.jobs, RenewLease(name, "", life, True, {}))
        self.enter(self.jobs, DefineJob(JOB))

    @property
    def token(self):
        return self.jobs.jobs[JOB].fencing_token

    def report(self, node, life=1, zone="x", epoch=1, unix=0, **more):
        told = {"ready": True, "records_verified": True, "load": 0.3} | more
        return self(NodeReport(node, zone, life, False, epoch, unix, **told))

    def looks(self, planner, now):
        said = planner.plan_next_step(now, self.fleet.epoch, dict(self.fleet.nodes), self.fleet.plan)
        return said, [self(each) for each in said]


@pytest.fixture
def group():
    return Group()


# -- the boot record -------------------------------------------------------------------------------


def test_a_start_finds_how_the_life_before_ended_and_counts():
    first = create_record(None, 5, "g")
    assert (first.boot_count, first.clean_shutdown, first.epoch) == (1, False, 0)
    before = load_previous(
        encode_boot_record(msgspec.structs.replace(first, clean_shutdown=True, epoch=4)), "g"
    )
    assert before.clean_shutdown and create_record(before, 9, "g") == BootRecord(1, 2, False, 9, "g", 4)
    assert load_previous(None, "g") is None


@pytest.mark.parametrize(
    ("said", "why"),
    [
        (b"\xc1", "can't be read"),
        (encode_boot_record(BootRecord(9, 1, True, 0, "g", 0)), "format 9"),
        (encode_boot_record(BootRecord(1, 1, True, 0, "h", 0)), "the fleet 'h'"),
    ],
)
def test_a_record_that_is_not_this_one_s_is_refused(said, why):
    with pytest.raises(InvalidBootRecordError, match=why):
        load_previous(said, "g")


@pytest.mark.parametrize(
    ("off", "judged"),
    [
        (0, ClockCheck.PLAUSIBLE),
        (HOUR, ClockCheck.PLAUSIBLE),
        (-SECOND // 2, ClockCheck.PLAUSIBLE),
        (-HOUR, ClockCheck.BEHIND),
        (-56 * 366 * 24 * HOUR, ClockCheck.BEHIND),
        (400 * 24 * HOUR, ClockCheck.AHEAD),
    ],
)
def test_a_clock_is_judged_by_the_last_sign(off, judged):
    seen = 100 * 366 * 24 * HOUR
    assert check_clock(BootRecord(1, 1, False, seen, "g", 0), seen + off) is judged
    assert check_clock(None, off) is ClockCheck.PLAUSIBLE


def test_the_table_of_trust_is_whole_and_asks_its_proofs():
    assert set(REQUIRED_PROOF) == set(Item)
    nothing, disk, all_ = (
        Verified(False, False, False),
        Verified(True, False, True),
        Verified(True, True, True),
    )
    for item, proof in REQUIRED_PROOF.items():
        assert not is_trusted(item, nothing)
        assert is_trusted(item, disk) == (proof is Proof.OWN_DISK)
        assert is_trusted(item, all_) == (proof is not Proof.NEVER)
    assert can_serve_keyed(disk) and not can_serve_keyed(Verified(True, True, False))


# -- the fleet's state -----------------------------------------------------------------------------


def test_a_node_that_wakes_is_shut_until_it_is_opened_and_one_of_a_new_life_again(group):
    assert group.report("a").share == 0.0
    assert group(RolloutBatch(group.token, {"a": 1.0}, None)).accepted
    assert group.report("a").share == 1.0
    assert group.report("a", life=2).share == 0.0 and group.fleet.nodes["a"].status == NodeStatus.SHUT


def test_an_older_owner_s_plan_is_refused(group):
    group.report("a")
    old = group.token
    group.owner("o2", 2)
    refused = (False, "an older owner's")
    beat = group.fleet.nodes["a"].last_report
    for what in (
        RolloutBatch(old, {"a": 1.0}, None),
        NewEpoch(old, 1),
        NodeLost(old, "a", beat),
        SetAllocatableShare(old, 0.5),
    ):
        told = group(what)
        assert astuple(told) == refused
    assert group(NewEpoch(group.token, 1)).accepted and group.fleet.epoch == 2
    assert not group(NewEpoch(group.token, 1)).accepted  # it has begun already


def test_a_loss_names_the_report_that_it_means_and_who_comes_again_is_shut(group):
    group.report("a")
    beat = group.fleet.nodes["a"].last_report
    group(RolloutBatch(group.token, {"a": 1.0}, None))
    group.report("a")
    assert not group(NodeLost(group.token, "a", beat)).accepted
    assert group(NodeLost(group.token, "a", group.fleet.nodes["a"].last_report)).accepted
    assert group.fleet.nodes["a"].status == NodeStatus.GONE and group.report("a").share == 0.0
    assert group(NodeLeaving("a", 1)).accepted and "a" not in group.fleet.nodes


def test_a_clock_that_the_others_contradict_is_told_by_how_much(group):
    for name in ("a", "b"):
        assert group.report(name, unix=HOUR).clock_offset == 0
    assert group.report("c", unix=0).clock_offset == -HOUR
    assert group.report("d", unix=HOUR + SECOND).clock_offset == 0
    assert group.report("c", unix=HOUR).clock_offset == 0


def test_an_operator_holds_goes_on_skips_and_forgets(group):
    group.report("a"), group.report("b")
    assert not group(PauseRollout(True)).accepted
    group(NewEpoch(group.token, 1, "power"))
    assert group(PauseRollout(True)).accepted and "holds" in group.report("a").reason
    assert not group(RolloutBatch(group.token, {"a": 1.0}, RolloutPlan(2.0))).accepted
    assert group(SkipNode("a")).accepted and group.report("a").share == 1.0
    assert (
        group(PauseRollout(False)).accepted
        and group(RolloutBatch(group.token, {"b": 0.5}, RolloutPlan(2.0))).accepted
    )
    assert group(ForgetNode("b")).accepted and not group(SkipNode("b")).accepted
    again = FleetState(group.jobs)
    again.load(msgspec.Raw(msgspec.msgpack.encode(group.fleet.dump())))
    assert again.nodes == group.fleet.nodes and again.plan == group.fleet.plan


# -- the plan --------------------------------------------------------------------------------------


def opened(group, names):
    for name in names:
        group.report(name)
    group(RolloutBatch(group.token, dict.fromkeys(names, 1.0), None))


def test_a_single_restart_opens_by_steps_and_is_no_new_epoch(group):
    opened(group, "abcd")
    planner = RolloutPlanner(group.token)
    group.looks(planner, 0)
    for name in "abc":
        group.report(name)
    group.report("d", life=2)
    for at in range(4):
        group.looks(planner, at * 300_000)
        group.report("d", life=2)
    assert group.fleet.nodes["d"].share == 1.0 and group.fleet.epoch == 1


def test_half_of_the_nodes_gone_or_woken_begin_an_epoch_once_the_others_had_time_to_be_heard(group):
    opened(group, "abcdefgh")
    planner = RolloutPlanner(group.token)
    for name in "abcd":
        group.report(name, life=2)
    assert group.looks(planner, 0)[0] == []
    assert group.looks(planner, EPOCH_DELAY_US - 1)[0] == []
    (new,), _ = group.looks(planner, EPOCH_DELAY_US)
    assert isinstance(new, NewEpoch) and group.fleet.epoch == 2 and group.fleet.plan.max_open == 0
    said, _ = group.looks(planner, EPOCH_DELAY_US + 300_000)
    assert said[0] == SetAllocatableShare(group.token, INITIAL_DEPENDENCY_SHARE)
    assert (
        len(said[1].shares) == 0 and said[1].plan.max_open == 8 * FIRST_BATCH_FRACTION
    )  # the four that stayed open are enough


def returning(count=12):
    group = Group()
    names = [f"n{number:02}" for number in range(count)]
    for at, name in enumerate(names):
        group.report(name, zone="xy"[at % 2], life=2)
    group(NewEpoch(group.token, 1, "power"))
    return group, names, RolloutPlanner(group.token)


def go_on(group, names, planner, looks, first=0, **more):
    for at in range(first, first + looks):
        group.looks(planner, at * 300_000)
        for number, name in enumerate(names):
            group.report(name, zone="xy"[number % 2], life=2, **more)


def test_waves_grow_while_the_open_ones_stand_and_the_return_ends_when_all_are_open():
    group, names, planner = returning()
    group.looks(planner, 0)
    first = [name for name, each in group.fleet.nodes.items() if each.status == NodeStatus.OPEN]
    assert len(first) == 4 and {group.fleet.nodes[name].zone for name in first} == {"x", "y"}
    assert all(each.share in (0.0, OPENING_STEP) for each in group.fleet.nodes.values())
    go_on(group, names, planner, 60, 1, load=0.2)
    assert group.fleet.plan is None and all(each.share == 1.0 for each in group.fleet.nodes.values())


def test_the_part_below_follows_what_stands_and_waves_wait_while_they_do_not():
    group, names, planner = returning()
    go_on(group, names, planner, 4, load=1.4)
    assert group.fleet.plan.dependency_share < INITIAL_DEPENDENCY_SHARE
    assert sum(each.status == NodeStatus.OPEN for each in group.fleet.nodes.values()) == 4
    part = group.fleet.plan.dependency_share
    go_on(group, names, planner, 4, 4, load=0.3)
    assert group.fleet.plan.dependency_share > part


def test_a_wave_that_falls_is_taken_back_and_comes_again():
    group, names, planner = returning()
    group.looks(planner, 0)
    cap = group.fleet.plan.max_open
    for name in names:
        group.report(name, life=2, ready=False)
    group.looks(planner, 300_000)
    assert group.fleet.plan.rollbacks == 1 and group.fleet.plan.max_open < cap
    assert all(each.status == NodeStatus.SHUT for each in group.fleet.nodes.values())
    go_on(group, names, planner, 60, 2, load=0.2)
    assert group.fleet.plan is None


def test_the_next_owner_goes_on_with_the_plan_that_lies_in_the_log():
    group, names, planner = returning()
    go_on(group, names, planner, 3, load=0.2)
    cap, epoch = group.fleet.plan.max_open, group.fleet.epoch
    group.owner("o2", 2)
    assert not any(astuple(result)[0] for result in group.looks(planner, 4 * 300_000)[1])
    go_on(group, names, RolloutPlanner(group.token), 2, 5, load=0.2)
    assert group.fleet.plan.max_open > cap and group.fleet.epoch == epoch


def test_who_is_not_heard_of_is_gone_and_nobody_waits_for_it(group):
    opened(group, "abc")
    planner = RolloutPlanner(group.token)
    group.looks(planner, 0)
    for name in "ab":
        group.report(name)
    group.looks(planner, REPORT_TIMEOUT_US - 1)
    for name in "ab":
        group.report(name)
    (lost,), _ = group.looks(planner, REPORT_TIMEOUT_US)
    assert lost.node == "c" and group.fleet.nodes["c"].status == NodeStatus.GONE


def test_zones_take_turns_and_in_each_those_with_proofs_and_the_quick_come_first(group):
    for name, zone, verified, speed in (
        ("a", "x", True, 1.0),
        ("b", "x", True, 2.0),
        ("c", "x", False, 9.0),
        ("d", "y", True, 1.0),
        ("e", "y", True, 1.0),
    ):
        group.report(name, zone=zone, records_verified=verified, speed=speed)
    group.report("f", ready=False)
    assert opening_order(group.fleet.nodes) == ["b", "d", "a", "e", "c"]


# -- a node's waking -------------------------------------------------------------------------------


def waking(clock=ClockCheck.PLAUSIBLE, epoch=3):
    made = ReadinessGate("a", "x", 7, False, epoch, clock, 0)
    made.ready = made.records_verified = True
    return made


def test_a_node_is_shut_until_the_word_comes_and_alone_it_opens_slowly():
    mine = waking()
    assert mine.allowance(STANDALONE_DELAY_US - 1).share == 0.0
    assert mine.allowance(STANDALONE_DELAY_US).share == 0.05 and mine.allowance(STANDALONE_DELAY_US).keyed
    assert mine.allowance(STANDALONE_DELAY_US + 30 * SECOND).share == 1.0
    mine.next_report(0, 0, 0.0, 1.0)
    assert (
        mine.on_reply(1, ReportReply(4, 0.34))
        and mine.allowance(STANDALONE_DELAY_US + 30 * SECOND).share == 0.34
    )


def test_where_nobody_plans_a_node_goes_on_alone_after_a_while(group):
    mine = waking()
    mine.next_report(0, 0, 0.0, 1.0)
    mine.on_reply(1, ReportReply(3, 0.0, has_no_planner=True))
    assert (
        mine.allowance(STANDALONE_DELAY_US - 1).share == 0.0
        and mine.allowance(STANDALONE_DELAY_US + 4 * SECOND).share == 0.25
    )
    mine.next_report(mine.next_report_at, 0, 0.0, 1.0)
    mine.on_reply(STANDALONE_DELAY_US, ReportReply(3, 0.0))
    assert mine.allowance(STANDALONE_DELAY_US + 4 * SECOND).share == 0.0
    assert not group.report("a").has_no_planner
    group.enter(group.jobs, CandidateExpired("o1", group.jobs.candidates["o1"].renewal_index))
    assert group.report("a").has_no_planner


def test_an_older_epoch_s_word_opens_nothing():
    mine = waking(epoch=3)
    mine.next_report(0, 0, 0.0, 1.0)
    assert (
        not mine.on_reply(1, ReportReply(2, 1.0))
        and mine.allowance(2).share == 0.0
        and not mine.group_answered
    )


def test_a_wrong_clock_keeps_what_is_receipted_out_until_the_fleet_agrees_with_it():
    mine = waking(ClockCheck.BEHIND)
    assert not mine.allowance(STANDALONE_DELAY_US).keyed
    mine.next_report(0, 0, 0.0, 1.0)
    mine.on_reply(1, ReportReply(3, 1.0, clock_offset=-HOUR))
    assert (
        mine.allowance(2).share == 1.0
        and not mine.allowance(2).keyed
        and "off by" in mine.allowance(2).reason
    )
    mine.next_report(mine.next_report_at, 0, 0.0, 1.0)
    mine.on_reply(3, ReportReply(3, 1.0))
    assert mine.allowance(4).keyed
    mine.records_verified = False
    assert not mine.allowance(4).keyed


def test_reports_go_one_at_a_time_often_while_it_matters():
    mine = waking()
    assert mine.next_report(0, 0, 0.0, 1.0) and mine.next_report(1, 0, 0.0, 1.0) is None
    mine.on_reply(1, ReportReply(3, 1.0))
    seldom = mine.next_report_at
    mine.next_report(seldom, 0, 0.0, 1.0)
    mine.on_reply(seldom, ReportReply(3, 1.0, report_often=True))
    assert mine.next_report_at - seldom < seldom - 1
    mine.next_report(mine.next_report_at, 0, 0.0, 1.0)
    mine.on_report_failed(mine.next_report_at)
    assert mine.allowance(mine.next_report_at).share == 1.0


# -- returns, simulated ----------------------------------------------------------------------------


def test_by_plan_a_fleet_returns_with_less_loss_than_all_at_once_and_nothing_falls():
    plan, at_once = World(30, 1, "plan").play(), World(30, 1, "at once").play()
    assert plan.full and plan.falls == 0 and plan.epochs == 1
    assert plan.lost < at_once.lost / 2 and plan.to_90 < 16
    assert plan == World(30, 1, "plan").play()


def test_an_owner_that_dies_at_any_stage_delays_the_return_and_no_more():
    for at in (5.0, 8.0, 12.0):
        world = World(30, 2, "plan")
        world.clockwork.after(round(at * SECOND), setattr, world, "planner", None)
        world.clockwork.after(round((at + 2) * SECOND), world.owner_comes, 2)
        ran = world.play()
        assert ran.full and ran.falls == 0 and ran.epochs == 1, (at, ran)


def test_all_orders_of_cuts_and_returns_to_a_depth_and_planted_mistakes_are_caught():
    for right in (Explored, GrantsOfOne):
        found = play(right, 12, 2_000)
        assert found.violation is None and found.depth >= 2
    for kind in MISTAKES:
        assert play(kind, 12, 15_000).violation is not None, kind
