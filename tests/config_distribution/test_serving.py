"""The host of a publisher: at most one answer waits for each link, and a link that is not read is dropped."""

import msgspec
import pytest
from twisted.internet.task import Clock

from lichencleat.config_distribution import serving
from lichencleat.config_distribution.feed import Publisher
from lichencleat.config_distribution.serving import PublisherHost
from lichencleat.config_distribution.table import Table
from lichencleat.config_distribution.terms import (
    DIGESTS,
    FIND,
    FOLLOW,
    IN_FORCE,
    MAX_SUBSCRIBERS,
    PAGES_OF,
    Change,
    FollowOutcome,
    FollowRequest,
    PagesRequest,
    RecordRequest,
    decode_follow_answer,
    decode_pages_answer,
    decode_snapshot_head,
    encode,
)
from lichencleat.transport.frames import ClientRequest, encode_raw

SECOND = 1_000_000


class Link:
    """The server's end of a link whose client reads when the test says so."""

    def __init__(self):
        self.transport, self.replies, self.kept_waiting, self.aborted = self, [], 0, False

    def reply(self, reply):
        self.replies.append(reply)

    def unsent_bytes(self):
        return self.kept_waiting

    def abortConnection(self):  # noqa: N802  (Twisted's name)
        self.aborted = True


class Log:
    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        self.events.append((event, fields))

    warning = info


class Host:
    def __init__(self, turn=serving.MAX_ANSWERS_PER_TURN):
        self.clock, self.table, self.log = Clock(), Table(), Log()
        self.publisher = Publisher("r1", "north", self.table, 0)
        self.serving = PublisherHost(
            self.clock,
            self.publisher,
            lambda: int(self.clock.seconds() * SECOND),
            self.log,
            answers_per_turn=turn,
        )
        self.publisher.set_age(0, 0)
        self.number = 0

    def publish(self, version, *names):
        batch = self.table.apply(version, [Change("tenant", name, b"{}") for name in names])
        self.publisher.on_applied(int(self.clock.seconds() * SECOND), (batch,))
        self.serving.schedule_pull()

    def ask(self, link, what, content=None):
        self.number += 1
        self.serving.on_request(link, ClientRequest(self.number, what, encode_raw(content)))
        return self.number

    def follow(self, link, version=0, digest=b""):
        return self.ask(link, FOLLOW, FollowRequest(version, digest, ()))

    def pass_by(self, seconds, step=0.05):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)


def test_a_common_answer_is_decided_in_one_turn_and_encoded_once(monkeypatch):
    made = []
    monkeypatch.setattr(serving, "encode", lambda content: made.append(content) or encode(content))
    host = Host()
    links = [Link() for _ in range(30)]
    numbers = [host.follow(each, 0, host.table.digest) for each in links]
    host.clock.advance(0)
    assert not any(each.replies for each in links)
    host.publish(7, "acme")
    assert not any(each.replies for each in links)  # pulled in the next turn, after all requests were read
    host.clock.advance(0)
    answers = [decode_follow_answer(each.replies[0].content) for each in links]
    assert [each.replies[0].number for each in links] == numbers
    assert {(each.outcome, each.version) for each in answers} == {(FollowOutcome.NEWS, 7)}
    assert len(made) == 1


def test_a_turn_answers_a_bounded_number_and_the_next_one_continues():
    host = Host(turn=4)
    host.publish(7, "acme")
    host.clock.advance(0)
    links = [Link() for _ in range(10)]
    turns, pull = [], host.serving.pull
    host.serving.pull = lambda: (pull(), turns.append(sum(len(each.replies) for each in links)))
    for each in links:
        host.follow(each, 0, host.table.digest)
    host.clock.advance(0)
    assert turns == [4, 8, 10]


def test_the_timer_answers_a_request_at_the_end_of_its_hold():
    host, link = Host(), Link()
    host.follow(link, 0, host.table.digest)
    host.pass_by(0.9)
    assert not link.replies
    host.pass_by(0.2)
    assert [decode_follow_answer(each.content).outcome for each in link.replies] == [FollowOutcome.SAME]


def test_a_link_has_one_open_request_and_none_before_the_answer_was_read():
    host, hasty, slow, fair = Host(), Link(), Link(), Link()
    host.follow(hasty)
    host.follow(hasty)
    assert hasty.aborted and not fair.aborted
    host.ask(slow, IN_FORCE)
    host.clock.advance(0)
    slow.kept_waiting = 100
    host.ask(slow, IN_FORCE)
    assert slow.aborted and len(slow.replies) == 1
    for _ in range(3):
        host.ask(fair, IN_FORCE)
        host.clock.advance(0)
    assert len(fair.replies) == 3 and not fair.aborted
    assert host.serving.counts["asked again before the answer"] == 2


def test_a_subscriber_that_does_not_read_is_dropped_in_a_bounded_time_and_counted():
    host, stuck, slow = Host(), Link(), Link()
    stuck.kept_waiting = 0
    for each in (stuck, slow):
        host.ask(each, IN_FORCE)
        reply, each.reply = each.reply, None
        each.reply = lambda told, each=each, reply=reply: (reply(told), setattr(each, "kept_waiting", 50))
    host.clock.advance(0)
    host.pass_by(5)
    slow.kept_waiting = 0
    host.pass_by(4)
    assert not stuck.aborted
    host.pass_by(2.1)
    assert stuck.aborted and not slow.aborted
    assert host.serving.counts == {"dropped: does not read": 1}
    assert host.serving.unread_timer is None  # no answer waits, so there is no timer


def test_a_snapshot_is_fetched_and_the_command_finds_a_record():
    host, link = Host(), Link()
    host.publish(3, *(f"t{n}" for n in range(50)))
    host.ask(link, DIGESTS)
    host.clock.advance(0)
    head = decode_snapshot_head(link.replies[-1].content)
    assert (head.version, head.digest) == (3, host.table.digest)
    filled = [n for n, page in enumerate(host.table.pages) if page]
    host.ask(link, PAGES_OF, PagesRequest(3, tuple(filled[:5])))
    host.clock.advance(0)
    assert [n for n, _ in decode_pages_answer(link.replies[-1].content).pages] == filled[:5]
    host.ask(link, FIND, RecordRequest("tenant", "t7"))
    host.clock.advance(0)
    assert link.replies[-1].done and link.replies[-1].content == encode_raw(b"{}")


NO_TEXT = msgspec.Raw(encode(RecordRequest("tenant", "acme")).replace(b"acme", b"ac\xffe"))


@pytest.mark.parametrize(
    ("what", "content"), [*((each, "no such thing") for each in (FOLLOW, PAGES_OF, FIND)), (FIND, NO_TEXT)]
)
def test_a_request_that_cannot_be_decoded_is_declined_and_counted(what, content):
    host, link = Host(), Link()
    host.ask(link, what, content)
    host.clock.advance(0)
    assert [(each.done, each.content) for each in link.replies] == [(False, encode_raw("unfit"))]
    assert host.serving.counts == {"questions that can't be read": 1}
    assert not host.serving.handles("propose") and host.serving.handles(FOLLOW)


def test_a_subscriber_above_the_bound_is_declined_and_a_command_still_answered():
    host = Host()
    links = [Link() for _ in range(MAX_SUBSCRIBERS + 1)]
    for each in links:
        host.follow(each, 0, host.table.digest)
    host.clock.advance(0)
    assert [each.content for each in links[-1].replies] == [encode_raw("full")]
    host.ask(links[-1], IN_FORCE)
    host.clock.advance(0)
    assert links[-1].replies[-1].done
    host.serving.on_disconnected(links[0])
    host.follow(links[-1], 0, host.table.digest)
    host.pass_by(1.1)
    assert decode_follow_answer(links[-1].replies[-1].content).outcome == FollowOutcome.SAME


def test_a_link_that_ended_is_forgotten_and_gets_no_answer():
    host, gone, other = Host(), Link(), Link()
    host.follow(gone, 0, host.table.digest)
    host.follow(other, 0, host.table.digest)
    host.serving.on_disconnected(gone)
    host.publish(1, "acme")
    host.clock.advance(0)
    assert not gone.replies and len(other.replies) == 1
    assert len(host.serving.links) == len(host.serving.numbers) == len(host.publisher.subscribers) == 1


def test_after_close_nothing_is_answered_and_no_timer_is_left():
    host, link = Host(), Link()
    host.follow(link, 0, host.table.digest)
    host.clock.advance(0)
    host.serving.close()
    host.publish(1, "acme")
    host.pass_by(2)
    assert not link.replies and not host.clock.getDelayedCalls()


def test_an_error_in_a_decision_is_logged_and_serving_continues():
    host, link = Host(), Link()
    right, host.publisher.next_decision = host.publisher.next_decision, lambda now: 1 // 0
    host.follow(link, 0, host.table.digest)
    host.clock.advance(0)
    assert host.serving.counts == {"errors": 1} and "ZeroDivisionError" in host.log.events[0][1]["trace"]
    host.publisher.next_decision = right
    host.publish(1, "acme")
    host.clock.advance(0)
    assert len(link.replies) == 1
