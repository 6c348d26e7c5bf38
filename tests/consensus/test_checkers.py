"""The checkers of the simulation: they find injected violations and accept correct histories."""

import random

from lichencleat.testkit.checkers.group import GroupWatch
from lichencleat.testkit.checkers.linear import (
    NEVER,
    Call,
    check_key_value_history,
    is_linearizable,
    register,
)


def call(client, what, begin, end, told):
    return Call(client, what, begin, told, end)


def random_history(rng, clients=4, calls=12):
    """Return a correct history: each call takes effect at a random time between its begin and its end."""
    history, state, at = [], {}, 0
    free = dict.fromkeys(range(clients), 0)
    for number in range(calls * clients):
        at += rng.randrange(1, 40)
        client = rng.randrange(clients)
        begin = max(free[client], at - rng.randrange(60))
        if begin > at:
            continue
        name, value = f"f{rng.randrange(2)}", f"v{number}".encode()
        kind = rng.choice(["put", "cas", "get"])
        if kind == "get":
            what, told = ("get", name), state.get(name)
        elif kind == "put":
            what, told, state[name] = ("put", name, value), True, value
        else:
            over = rng.choice([state.get(name), b"other"])
            what, told = ("cas", name, value, over), over == state.get(name)
            if told:
                state[name] = value
        end = free[client] = at + rng.randrange(60)
        history.append(call(f"c{client}", what, begin, end, told))
    return history


def test_correct_histories_pass_the_checker():
    rng = random.Random(5)
    for _ in range(1_000):
        assert check_key_value_history(random_history(rng)) is None


def test_read_of_a_value_never_written_is_found():
    rng, found, injected = random.Random(6), 0, 0
    while injected < 200:
        history = random_history(rng)
        reads = [each for each in history if each.operation[0] == "get" and each.result is not None]
        if not reads:
            continue
        injected += 1
        wrong = rng.choice(reads)
        wrong.result = b"never written"
        found += check_key_value_history(history) is not None
    assert found == injected


def test_stale_read_lost_write_and_duplicate_write_are_found():
    base = [call("a", ("put", "f", b"1"), 0, 10, True), call("a", ("put", "f", b"2"), 20, 30, True)]
    assert check_key_value_history([*base, call("b", ("get", "f"), 40, 50, b"2")]) is None
    assert check_key_value_history([*base, call("b", ("get", "f"), 40, 50, b"1")]).startswith(
        "fact f is no single thing"
    )
    assert (
        check_key_value_history([*base, call("b", ("get", "f"), 25, 50, b"1")]) is None
    )  # overlaps the second write
    again = [*base, call("b", ("get", "f"), 40, 50, b"2"), call("b", ("get", "f"), 60, 70, b"1")]
    assert check_key_value_history(again) is not None
    both = [*base, call("b", ("cas", "f", b"3", b"1"), 40, 50, True)]
    assert check_key_value_history(both) is not None


def test_unanswered_call_may_be_done_or_not():
    maybe = Call("a", ("put", "f", b"1"), 0)
    assert check_key_value_history([maybe, call("b", ("get", "f"), 90, 95, b"1")]) is None
    assert check_key_value_history([maybe, call("b", ("get", "f"), 90, 95, None)]) is None
    back = [call("b", ("get", "f"), 90, 95, b"1"), call("b", ("get", "f"), 96, 99, None)]
    assert check_key_value_history([maybe, *back]) is not None


def test_search_over_its_limit_has_no_verdict():
    calls = [Call(f"c{n}", ("put", b"%d" % n), 0, True, 10) for n in range(12)]
    assert (
        is_linearizable([*calls, Call("x", ("get", None), 20, b"none", 30)], None, register, max_steps=500)
        is None
    )
    assert NEVER > 10**18


def test_group_watch_finds_each_injected_violation():
    def watched(*events):
        watch = GroupWatch()
        for name, *what in events:
            getattr(watch, name)(*what)
        return watch.wrong

    assert watched(("leads", 1, 1), ("leads", 1, 1), ("leads", 2, 2)) is None
    assert "two leaders" in watched(("leads", 1, 3), ("leads", 2, 3))
    assert watched(("applies", 1, 1, "a"), ("applies", 2, 1, "a"), ("applies", 1, 2, "b")) is None
    assert "applies b as 1" in watched(("applies", 1, 1, "a"), ("applies", 2, 1, "b"))
    assert "only 0" in watched(("applies", 1, 2, "a"))
    assert "takes effect" in watched(("takes_effect", 1, 4, "x"), ("takes_effect", 1, 5, "x"))
    assert "was told" in watched(("takes_effect", 1, 4, "x"), ("confirmed", "c", "x", 5))
    assert "was told" in watched(("confirmed", "c", "x", 5))
