from __future__ import annotations

import attrs

from tests.test_soak.histories import fault, found, history, request
from tools.soak.arrival import Ending
from tools.soak.attempt import Outcome
from tools.soak.fault_kind import FaultKind
from tools.soak.request_kind import RequestKind

STREAM = RequestKind.RESUMABLE_STREAM


def gave_up(number, closed_after_s, arrives_after_s=0.01):
    """Return a stream of two seconds whose caller leaves after 0.3 s.

    Both times count from the beginning of the request.
    """
    at = 10.0 + number
    path = f'{STREAM.prefix}x/40'
    attempt, arrival = request(STREAM, at=at, name=f'r{number}', path=path)
    attempt = attrs.evolve(
        attempt, outcome=Outcome.GAVE_UP, ended_at=at + 0.3, events=[]
    )
    arrived_at = at + arrives_after_s
    arrival = attrs.evolve(
        arrival,
        at=arrived_at,
        ran_at=arrived_at + 0.01,
        ended_at=at + closed_after_s,
        ending=Ending.CLOSED,
    )
    return attempt, arrival


def past(*closed_after_s, **fields):
    return history(*[gave_up(n, s) for n, s in enumerate(closed_after_s)], **fields)


def test_work_that_goes_on_for_callers_that_have_gone_is_found():
    assert not found(past(*[0.4] * 12, *[2.0] * 3))
    assert found(past(*[0.4] * 11, *[2.0] * 4)) == {'gone_callers'}


def test_work_that_goes_on_because_an_entry_is_paused_is_not_found():
    paused = fault(FaultKind.ENTRY_PAUSED, 'entry-1', 9.0, 30.0)
    assert not found(past(*[2.0] * 6, faults=[paused]))


def test_streams_that_arrive_after_their_callers_have_gone_are_found():
    late = [gave_up(n, 2.0, arrives_after_s=1.0) for n in range(4)]
    assert found(history(*late)) == {'gone_callers'}
    assert not found(history(*late[:3]))
