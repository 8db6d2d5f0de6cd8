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


class FixedChooser:
    def __init__(self, choice):
        self._choice = choice

    def choose(self, submission, excluded, now):
        return self._choice

    def retry_after_ms(self):
        return 700

    def ended(self, submission):
        pass


TARGET = Choice(target='t', incarnation=1, address='t:1')
NO_TARGET = NoTarget(reason='overload', retry_after_ms=900)


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
    return RequestFlow(submission=submission, chooser=FixedChooser(choice))


def bound_reply(**changes):
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


def test_refusal_of_generated_id_is_concluded_at_once():
    refusal = outcome(make_flow(NO_TARGET, named=False).start(0.0))
    assert (refusal.kind, refusal.retry_after_ms) == ('refused', 900)


def test_refusal_that_is_not_committed_in_time_is_unknown():
    flow = make_flow(NO_TARGET)
    assert isinstance(bodies(flow.start(0.0))[0], Refuse)
    assert flow.tick(1.9) == []
    assert outcome(flow.tick(2.1)).kind == 'unknown'


def test_chunks_in_any_order_become_a_gapless_prefix():
    flow = make_flow()
    flow.start(0.0)
    assert isinstance(bodies(flow.on_claim(bound_reply(), 0.1))[0], Dispatch)
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


def test_only_a_run_with_generated_id_is_cancelled_when_its_caller_leaves():
    for named in (True, False):
        flow = make_flow(named=named)
        flow.start(0.0)
        flow.on_claim(bound_reply(), 0.1)
        kinds = [type(body) for body in bodies(flow.caller_left())]
        assert kinds == ([] if named else [Cancel])


def test_binding_whose_reply_is_late_is_released():
    flow = make_flow()
    flow.start(0.0)
    assert type(bodies(flow.on_claim(bound_reply(), 3.0))[0]).__name__ == 'Release'


def test_submission_older_than_the_refusal_found_commits_its_own():
    record = OutcomeRecord(kind='refused', reason='shed', retry_after_ms=5)
    reply = ClaimReply(
        status='refused', refusal_index=9, refused_age_ms=500, outcome=record
    )
    older = make_flow()
    older.start(0.0)
    assert isinstance(bodies(older.on_claim(reply, 0.6))[0], Refuse)
    assert outcome(older.on_claim(reply, 0.7)).kind == 'refused'
    newer = make_flow()
    newer.start(0.0)
    assert bodies(newer.on_claim(reply, 0.4))[0].after_refusal == 9


def kinds(effects):
    return [type(body) for body in bodies(effects)]


def test_entry_inquires_about_the_claim_if_the_target_is_silent():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound_reply(), 0.0)
    flow.on_agent(Accepted(key=b'k', binding=1), 0.1)
    assert kinds(flow.tick(1.0)) == [Attach]
    assert kinds(flow.tick(1.6)) == [Inquire, Attach]
    # No second inquiry is sent while one is pending.
    assert kinds(flow.tick(3.2)) == [Attach]
    assert flow.on_claim(bound_reply(status='held'), 3.3) == []
    assert outcome(flow.tick(6.2)).reason == 'target_silent'


def test_a_target_is_not_taken_for_silent_because_the_entry_itself_was_paused():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound_reply(), 0.0)
    flow.on_agent(Accepted(key=b'k', binding=1), 0.1)
    assert Attach in kinds(flow.tick(9.0))
    flow.on_agent(Accepted(key=b'k', binding=1), 9.1)
    assert kinds(flow.tick(9.2)) == []


def test_request_bound_to_target_that_left_is_bound_again():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound_reply(), 0.0)
    flow.tick(1.6)
    (bind,) = bodies(flow.on_claim(ClaimReply(status='released'), 1.7))
    assert type(bind).__name__ == 'Bind'


def test_unanswered_inquiry_does_not_prevent_later_ones():
    # The pending inquiry is dropped when the target returns the request.
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound_reply(), 0.0)
    assert Inquire in kinds(flow.tick(1.6))
    not_started = NotStarted(key=b'k', binding=1, reason='lease')
    assert kinds(flow.on_agent(not_started, 1.7)) == [Release]
    flow.on_claim(ClaimReply(status='released'), 1.8)
    flow.on_claim(bound_reply(binding=2), 1.9)
    assert Inquire in kinds(flow.tick(3.5))


def test_run_that_is_not_held_is_unknown_unless_its_claim_is_finished():
    completed = OutcomeRecord(kind='completed', status=200, length=6)
    for reply, kind in (
        (bound_reply(status='held'), 'unknown'),
        (bound_reply(status='finished', outcome=completed), 'failed'),
    ):
        flow = make_flow()
        flow.start(0.0)
        flow.on_claim(bound_reply(), 0.0)
        not_held = NotHeld(key=b'k', binding=1)
        assert flow.on_agent(not_held, 0.5) == []
        assert kinds(flow.on_agent(not_held, 1.1)) == [Inquire]
        assert outcome(flow.on_claim(reply, 1.2)).kind == kind


def test_run_that_is_not_held_is_not_awaited_without_control_replicas():
    flow = make_flow()
    flow.start(0.0)
    flow.on_claim(bound_reply(), 0.0)
    for now in (1.1, 2.0, 2.9):
        flow.on_agent(NotHeld(key=b'k', binding=1), now)
    assert outcome(flow.tick(3.2)).reason == 'not_held'
