from __future__ import annotations

from pistachiopath.claims.effects import Ask, Conclude, Deliver
from pistachiopath.claims.flow import RequestFlow
from pistachiopath.claims.submission import Submission
from pistachiopath.effects import Send
from pistachiopath.messages.claims import (
    ClaimReply,
    Inquire,
    OutcomeRecord,
    Refuse,
    Release,
)
from pistachiopath.messages.dispatch import (
    Accepted,
    Attach,
    Cancel,
    Chunk,
    Dispatch,
    End,
    NotHeld,
    NotStarted,
    Work,
)
from pistachiopath.routing.chooser import Choice, NoTarget


class OneTarget:
    def __init__(self, choice):
        self._choice = choice

    def choose(self, submission, excluded, now):
        return self._choice

    def retry_after_ms(self):
        return 700

    def ended(self, submission):
        pass


TARGET = Choice(target='t', incarnation=1, address='t:1')
NOBODY = NoTarget(reason='overload', retry_after_ms=900)


def make_flow(choice=TARGET, *, named=True, deadline=100.0):
    submission = Submission(
        key=b'k',
        fingerprint=b'f',
        attempt=b'a',
        named=named,
        work=Work(path='/'),
        submitted_at=0.0,
        deadline=deadline,
    )
    return RequestFlow(submission=submission, chooser=OneTarget(choice))


def bound(**changes):
    details = {
        'status': 'bound',
        'binding': 1,
        'target': 't',
        'incarnation': 1,
        'address': 't:1',
    }
    return ClaimReply(**details | changes)


def bodies(effects):
    return [e.body for e in effects if isinstance(e, (Ask, Send))]


def outcome(effects):
    return next(e.outcome for e in effects if isinstance(e, Conclude))


def chunk(offset, data):
    return Chunk(
        key=b'k', binding=1, offset=offset, status=200, content_type='', data=data
    )


def test_a_refusal_of_an_own_id_is_told_at_once():
    told = outcome(make_flow(NOBODY, named=False).start(0.0))
    assert (told.kind, told.retry_after_ms) == ('refused', 900)


def test_a_refusal_that_can_not_be_committed_is_not_held_back():
    flow = make_flow(NOBODY)
    assert isinstance(bodies(flow.start(0.0))[0], Refuse)
    assert flow.tick(1.9) == []
    assert outcome(flow.tick(2.1)).kind == 'unknown'


def test_parts_in_any_order_become_a_gapless_prefix():
    flow = make_flow()
    flow.start(0.0)
    assert isinstance(bodies(flow.on_claim(bound(), 0.1))[0], Dispatch)
    effects = flow.on_agent(chunk(3, b'def'), 0.2)
    assert bodies(effects)[0].offset == 0
    end = End(
        key=b'k',
        binding=1,
        length=6,
        outcome=OutcomeRecord(kind='completed', status=200, length=6),
    )
    effects = flow.on_agent(chunk(0, b'abc'), 0.3) + flow.on_agent(end, 0.4)
    assert isinstance(bodies(effects)[0], Attach)
    effects += flow.on_agent(chunk(2, b'cdef'), 0.5)
    effects += flow.on_agent(end, 0.6)
    data = b''.join(e.data for e in effects if isinstance(e, Deliver))
    assert data == b'abcdef'
    assert outcome(effects).kind == 'completed'


def test_only_a_run_that_nobody_can_come_back_for_is_cancelled():
    for named in (True, False):
        flow = make_flow(named=named)
        flow.start(0.0)
        flow.on_claim(bound(), 0.1)
        kinds = [type(body) for body in bodies(flow.caller_left())]
        assert kinds == ([] if named else [Cancel])


def test_a_bind_that_was_answered_late_is_given_back():
    flow = make_flow()
    flow.start(0.0)
    assert type(bodies(flow.on_claim(bound(), 3.0))[0]).__name__ == 'Release'


def test_a_submission_that_meets_an_older_refusal_commits_its_own():
    record = OutcomeRecord(kind='refused', reason='shed', retry_after_ms=5)
    reply = ClaimReply(
        status='refused', refusal_index=9, refused_age_ms=500, outcome=record
    )
    old = make_flow()
    old.start(0.0)
    assert isinstance(bodies(old.on_claim(reply, 0.6))[0], Refuse)
    assert outcome(old.on_claim(reply, 0.7)).kind == 'refused'
    young = make_flow()
    young.start(0.0)
    assert bodies(young.on_claim(reply, 0.4))[0].after_refusal == 9


def kinds(effects):
    return [type(body) for body in bodies(effects)]


def test_a_silent_target_makes_the_entry_ask_for_the_claim():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound(), 0.0)
    flow.on_agent(Accepted(key=b'k', binding=1), 0.1)
    assert kinds(flow.tick(1.0)) == [Attach]
    assert kinds(flow.tick(1.6)) == [Inquire, Attach]
    # One question at a time.
    assert kinds(flow.tick(3.2)) == [Attach]
    assert flow.on_claim(bound(status='held'), 3.3) == []
    assert outcome(flow.tick(6.2)).reason == 'target_silent'


def test_what_was_bound_to_a_target_that_left_goes_elsewhere():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound(), 0.0)
    flow.tick(1.6)
    (bind,) = bodies(flow.on_claim(ClaimReply(status='released'), 1.7))
    assert type(bind).__name__ == 'Bind'


def test_an_unanswered_question_does_not_end_later_ones():
    # The question is forgotten when the target gives the request back.
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound(), 0.0)
    assert Inquire in kinds(flow.tick(1.6))
    given_back = NotStarted(key=b'k', binding=1, reason='lease')
    assert kinds(flow.on_agent(given_back, 1.7)) == [Release]
    flow.on_claim(ClaimReply(status='released'), 1.8)
    flow.on_claim(bound(binding=2), 1.9)
    assert Inquire in kinds(flow.tick(3.5))


def test_a_run_that_nobody_holds_is_unknown_unless_it_is_known_to_have_ended():
    done = OutcomeRecord(kind='completed', status=200, length=6)
    for reply, kind in (
        (bound(status='held'), 'unknown'),
        (bound(status='finished', outcome=done), 'failed'),
    ):
        flow = make_flow()
        flow.start(0.0)
        flow.on_claim(bound(), 0.0)
        absent = NotHeld(key=b'k', binding=1)
        assert flow.on_agent(absent, 0.5) == []
        assert kinds(flow.on_agent(absent, 1.1)) == [Inquire]
        assert outcome(flow.on_claim(reply, 1.2)).kind == kind


def test_a_run_that_nobody_holds_is_not_waited_for_without_control_replicas():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound(), 0.0)
    for now in (1.1, 2.0, 2.9):
        flow.on_agent(NotHeld(key=b'k', binding=1), now)
    assert outcome(flow.tick(3.2)).reason == 'not_held'
