"""The checkers of histories find each injected mistake, and nothing in a correct history."""

import pytest

from lichencleat.testkit.checkers.distribution import Acknowledged, DistributionWatch, StateReport


def answers(number, tenant="t1"):
    return {"pair/a0": {"n": number}, "pair/b0": {"n": number}, "tenant/t1": {"tenant": tenant, "n": 1}}


def said(at, who, version, digest="", life=1, **more):
    return StateReport(at, who, life, version, digest or f"d{version}", answers(version) | more)


RIGHT = [
    said(10, "n1", 3),
    said(11, "n2", 3),
    said(20, "n1", 5),
    said(25, "n1", 5),
    StateReport(30, "n1", 2, 0, "d0", {"pair/a0": None, "pair/b0": None, "tenant/t1": None}),  # a new life
    said(31, "n1", 3, life=2),
    said(40, "n2", 5),
]


def judged(history, told=(), published=()):
    watch = DistributionWatch()
    for version, what in published:
        watch.publishes(version, what)
    for each in history:
        watch.in_force(each)
    watch.acknowledges(told)
    return watch


def test_a_correct_history_passes():
    told = [Acknowledged(12, "n1", 3, "d3"), Acknowledged(40, "n2", 5, "d5"), Acknowledged(1, "n3", 0, "")]
    watch = judged(RIGHT, told, [(3, answers(3)), (4, answers(4)), (5, answers(5))])
    assert watch.wrong is None and watch.heard == len(RIGHT) and watch.acknowledged == 3
    assert watch.behind(["n1", "n2"], 5) == ["n1 has 3"]
    assert watch.behind(["n3"], 1) == ["n3 said nothing"]


@pytest.mark.parametrize(("wrong_at", "found"), [(48, "half a batch"), (52, "two digests")])
def test_a_lost_change_of_a_pair_is_found_whoever_reports_the_version_first(wrong_at, found):
    lost = said(wrong_at, "n2", 7, "other", **{"pair/a0": {"n": 5}})
    history = sorted([*RIGHT, said(50, "n1", 7), lost], key=lambda each: each.at)
    wrong = judged(history, (), [(7, answers(7))]).wrong
    assert found in wrong and f"n2 (1) at {wrong_at}" in wrong


@pytest.mark.parametrize(
    ("planted", "found"),
    [
        (said(50, "n2", 3), "goes back"),
        (said(50, "n2", 5, "other"), "two digests"),
        (said(50, "n2", 7, **{"pair/b0": {"n": 6}}), "half a batch"),
        (said(50, "n2", 7, **{"pair/b0": None}), "half a batch"),
        (said(50, "n2", 5, **{"tenant/t1": {"tenant": "t1", "n": 2}}), "two answers for tenant/t1"),
        (said(50, "n2", 7, **{"tenant/t1": {"tenant": "t2", "n": 1}}), "another tenant's"),
        (said(50, "n2", 9), "not as published"),
    ],
)
def test_each_injected_mistake_is_found(planted, found):
    published = [(9, answers(8))]
    assert judged(RIGHT, (), published).wrong is None
    wrong = judged([*RIGHT, planted], (), published).wrong
    assert wrong is not None and found in wrong and "n2" in wrong


def test_a_publication_is_compared_with_reports_from_before_it_was_known():
    watch = judged(RIGHT)
    watch.publishes(5, {"pair/a0": {"n": 5}})
    assert watch.wrong is None
    watch.publishes(3, {"pair/a0": {"n": 2}})
    assert "not as published" in watch.wrong


@pytest.mark.parametrize(
    "told",
    [
        Acknowledged(9, "n1", 3, "d3"),  # before it was in force
        Acknowledged(50, "n2", 4, "d4"),  # never in force there
        Acknowledged(50, "n1", 3, "d5"),  # with another digest
    ],
)
def test_an_acknowledgement_before_the_version_is_in_force_is_found(told):
    assert "acknowledged before it is in force" in judged(RIGHT, [told]).wrong
