from __future__ import annotations

import attrs

from tests.test_soak.histories import fault, found, history, request
from tools.soak.fault_kind import FaultKind
from tools.soak.operations import Departure

LEFT = Departure(replica='i-desk-1-1', place='desk-1', acked_at=7.0, node='control-1')


def test_a_request_after_an_acknowledged_departure_is_found():
    assert found(history(request(at=9.5), departures=[LEFT])) == {'departure_kept'}
    assert not found(history(request(at=8.5), departures=[LEFT]))


def test_after_a_disturbance_of_the_core_a_departure_may_be_unknown():
    cut_off = fault(FaultKind.CONTROL_PAUSED, 'control-1', 7.5, 8.0)
    assert not found(history(request(at=9.5), departures=[LEFT], faults=[cut_off]))


def notice(at):
    attempt, arrival = request(at=at, is_leaving=True)
    return attempt, attrs.evolve(arrival, says_leaving=True)


def test_a_request_after_a_notice_through_the_same_entry_is_found():
    later = request(at=13.0, name='r2')
    assert found(history(notice(10.0), later)) == {'notice_kept'}
    soon = request(at=11.0, name='r2')
    assert not found(history(notice(10.0), soon))
    other = request(at=13.0, name='r2', entry='entry-2')
    assert not found(history(notice(10.0), other))
    restarted = request(at=13.0, name='r2', lifetime=2)
    assert not found(history(notice(10.0), restarted))


def backoff(number_of_requests):
    attempt, arrival = request(at=10.0)
    attempt = attrs.evolve(attempt, status=503, signature='', body='')
    inf = float('inf')
    arrival = attrs.evolve(
        arrival, status=503, ran_at=inf, backoff_s=3.0, ended_at=10.1, text=''
    )
    later = [request(at=11.0, name=f'r{n + 2}') for n in range(number_of_requests)]
    return history((attempt, arrival), *later)


def test_a_third_request_within_a_backoff_is_found():
    assert found(backoff(3)) == {'backoff_kept'}
    assert not found(backoff(2))


def reborn(requests):
    """Return requests to a later lifetime that has kept the replica's id."""
    return [(a, attrs.evolve(arrival, born_ms=2)) for a, arrival in requests]


def test_a_later_lifetime_of_the_same_id_may_get_requests():
    # Regression, seed 305: lifetimes were told by the id alone.
    later = reborn([request(at=13.0, name='r2')])
    assert not found(history(notice(10.0), *later))
    assert not found(history(*reborn([request(at=9.5)]), departures=[LEFT]))
    past = backoff(0)
    more = history(*reborn([request(at=11.0, name=f'r{n + 2}') for n in range(3)]))
    past.attempts += more.attempts
    past.arrivals += more.arrivals
    assert not found(past)
