from __future__ import annotations

import attrs
import pytest

from tests.test_soak.histories import cut, events, fault, found, history, request
from tools.soak.arrival import Ending
from tools.soak.attempt import Outcome
from tools.soak.fault_kind import FaultKind
from tools.soak.request_kind import RequestKind

STREAM = RequestKind.RESUMABLE_STREAM


@pytest.mark.parametrize(
    'change',
    [
        {'body': 'cut'},
        {'signature': ''},
        {'signature': 'of another run'},
        {'echoed': 'r2'},
        {'status': 500},
        {'outcome': Outcome.GARBLED},
    ],
)
def test_an_answer_that_is_not_the_replicas_own_is_found(change):
    attempt, arrival = request()
    changed = attrs.evolve(attempt, **change)
    assert found(history((changed, arrival))) == {'whole_answers'}


def test_a_whole_looking_answer_of_a_replica_that_broke_off_is_found():
    attempt, arrival = request()
    broken = attrs.evolve(arrival, ending=Ending.BROKE_OFF)
    assert found(history((attempt, broken))) == {'whole_answers'}


@pytest.mark.parametrize('numbers', [(1, 3), (1, 2, 2, 3), (2, 3), (1, 2)])
def test_a_stream_with_events_missing_or_twice_is_found(numbers):
    attempt, arrival = request(STREAM)
    attempt.events = [e for n in numbers for e in events(attempt.path, n, n)]
    assert found(history((attempt, arrival))) == {'whole_answers'}


def test_an_event_of_another_stream_is_found():
    attempt, arrival = request(STREAM)
    attempt.events[1] = events('/drafts/other/3', 2, 2)[0]
    assert found(history((attempt, arrival))) == {'whole_answers'}


def test_a_stream_of_two_versions_is_found():
    attempt, arrival = request(STREAM)
    attempt.events[2] = events(attempt.path, 3, 3, 'v2')[0]
    assert found(history((attempt, arrival))) == {'one_version'}


def resumed(version):
    broken, lost = cut(kind=STREAM, head_at=10.1)
    broken.events = events(broken.path, 1, 2)
    lost.ending = Ending.BROKE_OFF
    attempt, arrival = request(STREAM, at=11.0, name='r2', path=broken.path)
    attempt = attrs.evolve(attempt, root='r1', last_event=2)
    attempt.events = events(attempt.path, 3, 3, version)
    return history((broken, lost), (attempt, arrival))


def test_a_stream_that_callers_resume_at_another_version_is_found():
    assert found(resumed('v2')) == {'one_version'}
    assert not found(resumed('v1'))


def test_a_request_without_an_answer_is_found():
    assert found(history(cut())) == {'answered'}


def test_a_request_that_times_out_is_found():
    attempt, arrival = cut(ended_after_s=7.0)
    attempt.outcome = Outcome.TIMED_OUT
    assert found(history((attempt, arrival))) == {'answered'}


def test_a_request_that_crosses_the_close_of_its_connection_may_end():
    attempt, _ = cut(ended_after_s=0.1)
    assert not found(history((attempt,)))
    attempt, _ = cut(ended_after_s=0.5)
    assert found(history((attempt,))) == {'answered'}


@pytest.mark.parametrize(
    ('kind', 'target'),
    [
        (FaultKind.ENTRY_KILLED, 'entry-1'),
        (FaultKind.LINK_RESET, 'link-entry-1'),
        (FaultKind.PROGRAM_STARVED, 'entry-1'),
        (FaultKind.SOAK_LATE, ''),
    ],
)
def test_a_disturbed_entry_may_leave_a_request_unanswered(kind, target):
    near = fault(kind, target, 8.0, 8.5)
    assert not found(history(cut(), faults=[near]))
    before = fault(kind, target, 1.0, 2.0)
    assert found(history(cut(), faults=[before])) == {'answered'}


def test_a_planned_stop_leaves_nothing_unanswered():
    stop = fault(FaultKind.ENTRY_STOPPED, 'entry-1', 9.0, 18.0)
    assert found(history(cut(), faults=[stop])) == {'answered'}


def test_a_planned_stop_may_cut_what_a_replica_works_on_at_the_end_of_the_grace():
    stop = fault(FaultKind.ENTRY_STOPPED, 'entry-1', 9.0, 18.0)
    attempt, arrival = cut(ended_after_s=6.8, kind=STREAM, deadline_s=12.0)
    arrival = attrs.evolve(arrival, ending=Ending.CLOSED, ended_at=16.8)
    assert not found(history((attempt, arrival), faults=[stop]))


def test_a_failure_while_the_replica_was_only_silent_is_found():
    attempt, arrival = request()
    failed = attrs.evolve(
        attempt, status=502, signature='', body='', ended_at=attempt.began_at + 1.3
    )
    left = attrs.evolve(
        arrival, ending=Ending.CLOSED, was_silent=True, ended_at=failed.ended_at
    )
    silence = fault(FaultKind.REPLICA_SILENT, 'desk-1', 9.0, 13.0)
    assert found(history((failed, left), faults=[silence])) == {'ended_early'}
    crash = fault(FaultKind.LINK_RESET, 'link-desk-1', 10.5, 10.5)
    assert not found(history((failed, left), faults=[silence, crash]))
