"""Boot records, trust, the fleet's state, the plan, a node's waking, by direct calls; simulated returns."""

import msgspec
import pytest

from lichencleat.leases.lease_state import LeaseState
from lichencleat.leases.messages import CandidateExpired, DefineJob, RenewLease
from lichencleat.quotas.messages import SetAllocatableShare
from lichencleat.quotas.quota_state import QuotaState
from lichencleat.recovery import boot as boots
from lichencleat.recovery.boot import Boot, Clock, WrongBootError
from lichencleat.recovery.planner import FIRST, MISSED, PART_FIRST, STEP, WAIT, Planner, turns
from lichencleat.recovery.state import Fleet
from lichencleat.recovery.terms import (
    JOB,
    Door,
    Forget,
    Hold,
    Leave,
    Lost,
    NewEpoch,
    Plan,
    Report,
    Skip,
    Wave,
)
from lichencleat.recovery.trust import TABLE, Item, Known, Proof, may_serve_receipted, trusted
from lichencleat.recovery.waking import ALONE, Waking
from lichencleat.testkit.explore_revive import MISTAKES, GrantsOfOne, play
from lichencleat.testkit.explore_revive import World as Explored
from lichencleat.testkit.simulation.revive import World

SECOND = 1_000_000
HOUR = 3_600 * SECOND


class Group:
    """The parts of a group's state, with an owner of the return; each command is the next entry."""

    def __init__(self):
        self.jobs, self.index = LeaseState(), 0
        self.fleet, self.pools = Fleet(self.jobs), QuotaState(self.jobs)
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
        told = {"ready": True, "proof": True, "strain": 0.3} | more
        return self(Report(node, zone, life, False, epoch, unix, **told))

    def looks(self, planner, now):
        said = planner.looks(now, self.fleet.epoch, dict(self.fleet.nodes), self.fleet.plan)
        return said, [self(each) for each in said]


@pytest.fixture
def group():
    return Group()


# -- the boot record -------------------------------------------------------------------------------


def test_a_start_finds_how_the_life_before_ended_and_counts():
    first = boots.begun(None, 5, "g")
    assert (first.count, first.clean, first.epoch) == (1, False, 0)
    before = boots.found(boots.encode(msgspec.structs.replace(first, clean=True, epoch=4)), "g")
    assert before.clean and boots.begun(before, 9, "g") == Boot(1, 2, False, 9, "g", 4)
    assert boots.found(None, "g") is None


@pytest.mark.parametrize(
    ("said", "why"),
    [
        (b"\xc1", "can't be read"),
        (boots.encode(Boot(9, 1, True, 0, "g", 0)), "format 9"),
        (boots.encode(Boot(1, 1, True, 0, "h", 0)), "the fleet 'h'"),
    ],
)
def test_a_record_that_is_not_this_one_s_is_refused(said, why):
    with pytest.raises(WrongBootError, match=why):
        boots.found(said, "g")


@pytest.mark.parametrize(
    ("off", "judged"),
    [
        (0, Clock.PLAUSIBLE),
        (HOUR, Clock.PLAUSIBLE),
        (-SECOND // 2, Clock.PLAUSIBLE),
        (-HOUR, Clock.BACK),
        (-56 * 366 * 24 * HOUR, Clock.BACK),
        (400 * 24 * HOUR, Clock.AHEAD),
    ],
)
def test_a_clock_is_judged_by_the_last_sign(off, judged):
    seen = 100 * 366 * 24 * HOUR
    assert boots.judge(Boot(1, 1, False, seen, "g", 0), seen + off) is judged
    assert boots.judge(None, off) is Clock.PLAUSIBLE


def test_the_table_of_trust_is_whole_and_asks_its_proofs():
    assert set(TABLE) == set(Item)
    nothing, disk, all_ = Known(False, False, False), Known(True, False, True), Known(True, True, True)
    for item, proof in TABLE.items():
        assert not trusted(item, nothing)
        assert trusted(item, disk) == (proof is Proof.OWN_DISK)
        assert trusted(item, all_) == (proof is not Proof.NEVER)
    assert may_serve_receipted(disk) and not may_serve_receipted(Known(True, True, False))


# -- the fleet's state -----------------------------------------------------------------------------


def test_a_node_that_wakes_is_shut_until_it_is_opened_and_one_of_a_new_life_again(group):
    assert group.report("a").share == 0.0
    assert group(Wave(group.token, {"a": 1.0}, None)).done
    assert group.report("a").share == 1.0
    assert group.report("a", life=2).share == 0.0 and group.fleet.nodes["a"].door == Door.SHUT


def test_an_older_owner_s_plan_is_refused(group):
    group.report("a")
    old = group.token
    group.owner("o2", 2)
    refused = [False, "an older owner's"]
    beat = group.fleet.nodes["a"].beat
    for what in (
        Wave(old, {"a": 1.0}, None),
        NewEpoch(old, 1),
        Lost(old, "a", beat),
        SetAllocatableShare(old, 0.5),
    ):
        assert msgspec.to_builtins(group(what)) == refused
    assert group(NewEpoch(group.token, 1)).done and group.fleet.epoch == 2
    assert not group(NewEpoch(group.token, 1)).done  # it has begun already


def test_a_loss_names_the_report_that_it_means_and_who_comes_again_is_shut(group):
    group.report("a")
    beat = group.fleet.nodes["a"].beat
    group(Wave(group.token, {"a": 1.0}, None))
    group.report("a")
    assert not group(Lost(group.token, "a", beat)).done
    assert group(Lost(group.token, "a", group.fleet.nodes["a"].beat)).done
    assert group.fleet.nodes["a"].door == Door.GONE and group.report("a").share == 0.0
    assert group(Leave("a", 1)).done and "a" not in group.fleet.nodes


def test_a_clock_that_the_others_contradict_is_told_by_how_much(group):
    for name in ("a", "b"):
        assert group.report(name, unix=HOUR).clock_off == 0
    assert group.report("c", unix=0).clock_off == -HOUR
    assert group.report("d", unix=HOUR + SECOND).clock_off == 0
    assert group.report("c", unix=HOUR).clock_off == 0


def test_an_operator_holds_goes_on_skips_and_forgets(group):
    group.report("a"), group.report("b")
    assert not group(Hold(True)).done
    group(NewEpoch(group.token, 1, "power"))
    assert group(Hold(True)).done and "holds" in group.report("a").why
    assert not group(Wave(group.token, {"a": 1.0}, Plan(2.0))).done
    assert group(Skip("a")).done and group.report("a").share == 1.0
    assert group(Hold(False)).done and group(Wave(group.token, {"b": 0.5}, Plan(2.0))).done
    assert group(Forget("b")).done and not group(Skip("b")).done
    again = Fleet(group.jobs)
    again.load(msgspec.Raw(msgspec.msgpack.encode(group.fleet.dump())))
    assert again.nodes == group.fleet.nodes and again.plan == group.fleet.plan


# -- the plan --------------------------------------------------------------------------------------


def opened(group, names):
    for name in names:
        group.report(name)
    group(Wave(group.token, dict.fromkeys(names, 1.0), None))


def test_a_single_restart_opens_by_steps_and_is_no_new_epoch(group):
    opened(group, "abcd")
    planner = Planner(group.token)
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
    planner = Planner(group.token)
    for name in "abcd":
        group.report(name, life=2)
    assert group.looks(planner, 0)[0] == []
    assert group.looks(planner, WAIT - 1)[0] == []
    (new,), _ = group.looks(planner, WAIT)
    assert isinstance(new, NewEpoch) and group.fleet.epoch == 2 and group.fleet.plan.cap == 0
    said, _ = group.looks(planner, WAIT + 300_000)
    assert said[0] == SetAllocatableShare(group.token, PART_FIRST)
    assert len(said[1].shares) == 0 and said[1].plan.cap == 8 * FIRST  # the four that stayed open are enough


def returning(count=12):
    group = Group()
    names = [f"n{number:02}" for number in range(count)]
    for at, name in enumerate(names):
        group.report(name, zone="xy"[at % 2], life=2)
    group(NewEpoch(group.token, 1, "power"))
    return group, names, Planner(group.token)


def go_on(group, names, planner, looks, first=0, **more):
    for at in range(first, first + looks):
        group.looks(planner, at * 300_000)
        for number, name in enumerate(names):
            group.report(name, zone="xy"[number % 2], life=2, **more)


def test_waves_grow_while_the_open_ones_stand_and_the_return_ends_when_all_are_open():
    group, names, planner = returning()
    group.looks(planner, 0)
    first = [name for name, each in group.fleet.nodes.items() if each.door == Door.OPEN]
    assert len(first) == 4 and {group.fleet.nodes[name].zone for name in first} == {"x", "y"}
    assert all(each.share in (0.0, STEP) for each in group.fleet.nodes.values())
    go_on(group, names, planner, 60, 1, strain=0.2)
    assert group.fleet.plan is None and all(each.share == 1.0 for each in group.fleet.nodes.values())


def test_the_part_below_follows_what_stands_and_waves_wait_while_they_do_not():
    group, names, planner = returning()
    go_on(group, names, planner, 4, strain=1.4)
    assert group.fleet.plan.part < PART_FIRST
    assert sum(each.door == Door.OPEN for each in group.fleet.nodes.values()) == 4
    part = group.fleet.plan.part
    go_on(group, names, planner, 4, 4, strain=0.3)
    assert group.fleet.plan.part > part


def test_a_wave_that_falls_is_taken_back_and_comes_again():
    group, names, planner = returning()
    group.looks(planner, 0)
    cap = group.fleet.plan.cap
    for name in names:
        group.report(name, life=2, ready=False)
    group.looks(planner, 300_000)
    assert group.fleet.plan.relapses == 1 and group.fleet.plan.cap < cap
    assert all(each.door == Door.SHUT for each in group.fleet.nodes.values())
    go_on(group, names, planner, 60, 2, strain=0.2)
    assert group.fleet.plan is None


def test_the_next_owner_goes_on_with_the_plan_that_lies_in_the_log():
    group, names, planner = returning()
    go_on(group, names, planner, 3, strain=0.2)
    cap, epoch = group.fleet.plan.cap, group.fleet.epoch
    group.owner("o2", 2)
    assert all(not msgspec.to_builtins(done)[0] for done in group.looks(planner, 4 * 300_000)[1])
    go_on(group, names, Planner(group.token), 2, 5, strain=0.2)
    assert group.fleet.plan.cap > cap and group.fleet.epoch == epoch


def test_who_is_not_heard_of_is_gone_and_nobody_waits_for_it(group):
    opened(group, "abc")
    planner = Planner(group.token)
    group.looks(planner, 0)
    for name in "ab":
        group.report(name)
    group.looks(planner, MISSED - 1)
    for name in "ab":
        group.report(name)
    (lost,), _ = group.looks(planner, MISSED)
    assert lost.node == "c" and group.fleet.nodes["c"].door == Door.GONE


def test_zones_take_turns_and_in_each_those_with_proofs_and_the_quick_come_first(group):
    for name, zone, proof, speed in (
        ("a", "x", True, 1.0),
        ("b", "x", True, 2.0),
        ("c", "x", False, 9.0),
        ("d", "y", True, 1.0),
        ("e", "y", True, 1.0),
    ):
        group.report(name, zone=zone, proof=proof, speed=speed)
    group.report("f", ready=False)
    assert turns(group.fleet.nodes) == ["b", "d", "a", "e", "c"]


# -- a node's waking -------------------------------------------------------------------------------


def waking(clock=Clock.PLAUSIBLE, epoch=3):
    made = Waking("a", "x", 7, False, epoch, clock, 0)
    made.ready = made.proof = True
    return made


def test_a_node_is_shut_until_the_word_comes_and_alone_it_opens_slowly():
    mine = waking()
    assert mine.may(ALONE - 1).share == 0.0
    assert mine.may(ALONE).share == 0.05 and mine.may(ALONE).receipted
    assert mine.may(ALONE + 30 * SECOND).share == 1.0
    mine.next_report(0, 0, 0.0, 1.0)
    assert mine.answered(1, word(4, 0.34)) and mine.may(ALONE + 30 * SECOND).share == 0.34


def test_where_nobody_plans_a_node_goes_on_alone_after_a_while(group):
    mine = waking()
    mine.next_report(0, 0, 0.0, 1.0)
    mine.answered(1, word(3, 0.0, unowned=True))
    assert mine.may(ALONE - 1).share == 0.0 and mine.may(ALONE + 4 * SECOND).share == 0.25
    mine.next_report(mine.ask_at, 0, 0.0, 1.0)
    mine.answered(ALONE, word(3, 0.0))
    assert mine.may(ALONE + 4 * SECOND).share == 0.0
    assert not group.report("a").unowned
    group.enter(group.jobs, CandidateExpired("o1", group.jobs.candidates["o1"].renewal_index))
    assert group.report("a").unowned


def word(epoch, share, **more):
    from lichencleat.recovery.terms import Word

    return Word(epoch, share, **more)


def test_an_older_epoch_s_word_opens_nothing():
    mine = waking(epoch=3)
    mine.next_report(0, 0, 0.0, 1.0)
    assert not mine.answered(1, word(2, 1.0)) and mine.may(2).share == 0.0 and not mine.heard


def test_a_wrong_clock_keeps_what_is_receipted_out_until_the_fleet_agrees_with_it():
    mine = waking(Clock.BACK)
    assert not mine.may(ALONE).receipted
    mine.next_report(0, 0, 0.0, 1.0)
    mine.answered(1, word(3, 1.0, clock_off=-HOUR))
    assert mine.may(2).share == 1.0 and not mine.may(2).receipted and "off by" in mine.may(2).why
    mine.next_report(mine.ask_at, 0, 0.0, 1.0)
    mine.answered(3, word(3, 1.0))
    assert mine.may(4).receipted
    mine.proof = False
    assert not mine.may(4).receipted


def test_reports_go_one_at_a_time_often_while_it_matters():
    mine = waking()
    assert mine.next_report(0, 0, 0.0, 1.0) and mine.next_report(1, 0, 0.0, 1.0) is None
    mine.answered(1, word(3, 1.0))
    seldom = mine.ask_at
    mine.next_report(seldom, 0, 0.0, 1.0)
    mine.answered(seldom, word(3, 1.0, often=True))
    assert mine.ask_at - seldom < seldom - 1
    mine.next_report(mine.ask_at, 0, 0.0, 1.0)
    mine.failed(mine.ask_at)
    assert mine.may(mine.ask_at).share == 1.0


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
