from __future__ import annotations

import contextlib
import time

import gevent
import pytest

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.messages.grants import Ask, ReleasePlace
from tests.test_exchange.sockets import CLOSE, MUTE, RESET, ScriptedTarget

from .parts import (
    FAILED,
    IDEMPOTENT,
    NOT_RUN,
    ONCE,
    RESUMABLE,
    GrantingGate,
    answer,
    chunk,
    events,
    serve,
    stream_head,
)

END = b'0\r\n\r\n'
CUT = {
    'reset before an answer': [b'', RESET],
    'closed before an answer': [b'', CLOSE],
    'cut in the answer': [answer(b'half of it')[:-4], CLOSE],
    'no answer at all': [b'\x00nonsense\r\n\r\n', CLOSE],
    'without signature': [answer(extra=b'Request-Id: abc\r\n')],
    'encoded': [
        answer(
            extra=b'Request-Id: abc\r\nReplica-Signature: s\r\n'
            b'Content-Encoding: gzip\r\n'
        )
    ],
}


def test_the_answer_and_signature_of_the_target_are_relayed():
    target = ScriptedTarget([answer()])
    caller, work = serve([target], ONCE)
    assert (caller.status, caller.body) == (200, b'done')
    assert caller.headers[b'replica-signature'] == b's'
    assert work.outcome == 'delivered'
    head, body = target.requests[0]
    assert head.startswith(b'POST /p HTTP/1.1')
    assert b'expect-replica: r0' in head
    assert body == b'body'


def test_a_gate_without_a_known_load_is_asked_for_a_place():
    # Regression: after all processes were killed, entries sent the requests that
    # waited for them straight to the engines, up to 12 to an engine that runs 5.
    gate, target = GrantingGate(), ScriptedTarget([answer()])
    caller, _ = serve([target], ONCE, gate=gate)
    assert caller.status == 200
    assert gate.received == [Ask, ReleasePlace]


def test_a_replica_that_left_during_the_wait_is_not_sent_to():
    gate, target = GrantingGate(), ScriptedTarget([answer()])
    with pytest.raises(TurnedAway):
        serve([target], ONCE, gate=gate, accept=False, wait_s=0.2)
    assert target.requests == []
    assert gate.received.count(Ask) == gate.received.count(ReleasePlace)


class MovingGate(GrantingGate):
    """Replies at once, each time in a way that makes the request move."""

    MAX_ASKS = 2000

    def _send(self, to, call, body):
        self.received.append(type(body))
        assert len(self.received) < self.MAX_ASKS, 'the request never waits'
        if isinstance(body, Ask):
            self.places.handle_lost(to)


def test_a_request_that_moves_again_and_again_lets_other_work_run_and_times_out():
    gate, target = MovingGate(), ScriptedTarget([answer()])
    with pytest.raises(TurnedAway) as caught:
        serve([target], ONCE, gate=gate, wait_s=0.3)
    assert caught.value.reason == 'timeout'
    assert target.requests == []


@pytest.mark.parametrize('cut', CUT)
def test_a_once_request_that_may_have_run_is_not_repeated(cut):
    first, second = ScriptedTarget(CUT[cut]), ScriptedTarget([answer()])
    caller, work = serve([first, second], ONCE)
    assert caller.status == 502
    assert second.requests == []
    assert work.may_have_run


@pytest.mark.parametrize('cut', CUT)
def test_an_idempotent_request_is_repeated_at_another_target(cut):
    first, second = ScriptedTarget(CUT[cut]), ScriptedTarget([answer()])
    caller, _ = serve([first, second], IDEMPOTENT)
    assert (caller.status, caller.body) == (200, b'done')


def test_a_failure_of_the_target_is_passed_on_if_the_request_may_not_repeat():
    first, second = ScriptedTarget([FAILED]), ScriptedTarget([answer()])
    caller, _ = serve([first, second], ONCE)
    assert (caller.status, caller.body) == (500, b'oops')
    assert caller.headers[b'replica-signature'] == b's'
    assert second.requests == []


def test_a_request_is_sent_to_no_more_targets_than_the_route_allows():
    targets = [ScriptedTarget([FAILED]) for _ in range(4)]
    caller, _ = serve(targets, IDEMPOTENT, attempts=2)
    assert caller.status == 500
    assert [len(t.requests) for t in targets] == [1, 1, 0, 0]


def test_a_request_that_did_not_run_is_sent_to_another_target_even_if_it_runs_once():
    first, second = ScriptedTarget([NOT_RUN]), ScriptedTarget([answer()])
    caller, _ = serve([first, second], ONCE, attempts=1)
    assert caller.status == 200


def test_another_replica_at_the_address_did_not_run_it():
    for extra in (b'Replica-Id: x\r\n', b'Not-Executed: 1\r\n'):
        first = ScriptedTarget([answer(b'', b'421 Other', extra)])
        superseded = []
        caller, _ = serve(
            [first, ScriptedTarget([answer()])],
            ONCE,
            attempts=1,
            superseded=superseded,
        )
        assert caller.status == 200
        assert superseded == ['r0']


def test_without_budget_a_request_that_did_not_run_is_refused_with_retry_after():
    targets = [ScriptedTarget([NOT_RUN]), ScriptedTarget([answer()])]
    with pytest.raises(TurnedAway) as caught:
        serve(targets, ONCE, budget=0.0)
    assert caught.value.status == 503
    assert caught.value.retry_after_s > 0
    assert targets[1].requests == []


def test_without_budget_a_request_that_may_have_run_is_lost():
    targets = [ScriptedTarget([b'', RESET]), ScriptedTarget([answer()])]
    caller, _ = serve(targets, IDEMPOTENT, budget=0.0)
    assert caller.status == 502


def test_a_timeout_after_a_send_is_not_reported_as_not_run():
    caller, work = serve([ScriptedTarget([MUTE])], ONCE, wait_s=0.1)
    assert caller.status == 504
    assert work.outcome == 'timeout'


def test_without_targets_a_request_is_reported_as_not_run():
    with pytest.raises(TurnedAway) as caught:
        serve([], ONCE)
    assert caught.value.status == 503


def test_a_stream_is_delivered_in_whole_events():
    body = events(0, 3)
    target = ScriptedTarget([stream_head() + chunk(body[:7]) + chunk(body[7:]) + END])
    caller, _ = serve([target], ONCE, stream=True)
    assert caller.body == body
    assert caller.finished


def test_a_broken_stream_resumes_at_another_target_after_its_last_whole_event():
    half = stream_head() + chunk(events(0, 2) + b'id: 3\nda')
    first = ScriptedTarget([half, RESET])
    second = ScriptedTarget([stream_head() + chunk(events(3, 5)) + END])
    caller, _ = serve([first, second], RESUMABLE, stream=True)
    assert caller.body == events(0, 5)
    assert caller.finished
    assert b'last-event-id: 2' in second.requests[0][0]


@pytest.mark.parametrize('wrong', [events(2, 5), events(4, 5)])
def test_repeated_or_missing_events_are_never_delivered(wrong):
    first = ScriptedTarget([stream_head() + chunk(events(0, 2)), RESET])
    second = ScriptedTarget([stream_head() + chunk(wrong) + END])
    caller, _ = serve([first, second], RESUMABLE, stream=True)
    assert caller.body == events(0, 2)
    assert not caller.finished


def test_a_broken_stream_that_may_not_resume_does_not_look_complete():
    first = ScriptedTarget([stream_head() + chunk(events(0, 2)), RESET])
    second = ScriptedTarget([stream_head() + chunk(events(3, 5)) + END])
    caller, work = serve([first, second], ONCE, stream=True)
    assert caller.body == events(0, 2)
    assert not caller.finished
    assert work.outcome == 'broken_off'
    assert second.requests == []


def test_a_stream_that_ends_within_an_event_is_not_complete():
    target = ScriptedTarget([stream_head() + chunk(events(0, 1) + b'id: 2\n') + END])
    caller, _ = serve([target], ONCE, stream=True)
    assert not caller.finished


def test_a_stream_without_an_event_may_start_at_another_target():
    first = ScriptedTarget([stream_head(), RESET])
    second = ScriptedTarget([stream_head() + chunk(events(0, 2)) + END])
    caller, _ = serve([first, second], RESUMABLE, stream=True)
    assert caller.body == events(0, 2)


def test_a_request_that_may_have_run_is_not_refused_when_no_target_remains():
    # Regression: if the second attempt found no target, the request was reported
    # as "not run".
    first = ScriptedTarget([b'', RESET])
    caller, work = serve([first], IDEMPOTENT, vanish=True)
    assert caller.status == 502
    assert work.outcome == 'lost'


def test_a_broken_stream_without_a_remaining_target_does_not_look_complete():
    first = ScriptedTarget([stream_head() + chunk(events(0, 2)), RESET])
    caller, work = serve([first], RESUMABLE, stream=True, vanish=True)
    assert caller.body == events(0, 2)
    assert not caller.finished
    assert work.outcome == 'broken_off'


def test_a_request_whose_time_passed_in_a_standstill_is_not_sent():
    pool = ConnectionPool(request_id_header=b'request-id')
    target = ScriptedTarget([answer()])
    pool.open_another(target.address, 0.3)
    gevent.sleep(0.05)
    # The standstill begins in the pause after the first target has refused.
    gevent.spawn_later(0.012, time.sleep, 1.0)
    with pytest.raises(TurnedAway) as caught:
        serve([RefusingTarget(), target], ONCE, pool=pool, wait_s=0.3)
    assert caught.value.status == 503
    assert target.requests == []


class RefusingTarget:
    """A target that does not listen."""

    address = '127.0.0.1:1'
    requests = ()


class ReleasedGate(GrantingGate):
    """Keeps how the runs ended."""

    def __init__(self):
        super().__init__()
        self.ends = []

    def _send(self, to, call, body):
        if isinstance(body, ReleasePlace):
            self.ends.append((body.ok, body.is_failure))
        super()._send(to, call, body)


@pytest.mark.parametrize(
    ('script', 'end'),
    [
        ([answer()], (True, False)),
        ([FAILED], (False, True)),
        ([b'', RESET], (False, True)),
        ([NOT_RUN], (False, False)),
    ],
    ids=['delivered', 'failed', 'reset', 'not run'],
)
def test_a_gate_is_told_whether_the_replica_failed_the_run(script, end):
    # Avoidance by all entries depends on it; a refusal or a withdrawal is no failure.
    gate = ReleasedGate()
    with contextlib.suppress(TurnedAway):
        serve([ScriptedTarget(script)], ONCE, gate=gate)
    assert gate.ends[0] == end


def test_a_gate_is_not_told_of_a_failure_if_the_caller_left():
    gate, target = ReleasedGate(), ScriptedTarget([stream_head(), MUTE])
    with gevent.Timeout(0.3, False):
        serve([target], ONCE, gate=gate)
    assert gate.ends == [(False, False)]
