from __future__ import annotations

import attrs
import pytest

from tests.test_soak.histories import found, history, put, refused, request
from tools.soak.request_kind import RequestKind


@pytest.mark.parametrize(
    'kind', [kind for kind in RequestKind if kind is not RequestKind.EXTRA]
)
def test_served_requests_are_sound(kind):
    puts = [put(2, 1.0)] if kind is RequestKind.MOVED else []
    assert not found(history(request(kind), puts=puts))


def test_a_second_run_is_found():
    attempt, arrival = request(RequestKind.UNSAFE)
    second = attrs.evolve(arrival, replica='i-desk-2-1')
    assert found(history((attempt, arrival, second))) == {'at_most_once'}


def test_a_request_that_may_be_repeated_runs_twice():
    attempt, arrival = request(RequestKind.SAFE)
    second = attrs.evolve(arrival, replica='i-desk-2-1', signature='other')
    assert not found(history((attempt, arrival, second)))


def test_a_refused_request_that_ran_is_found():
    (attempt,) = refused(kind=RequestKind.UNSAFE)
    _, arrival = request(RequestKind.UNSAFE)
    assert found(history((attempt, arrival))) == {'truthful_refusals'}
    assert not found(history((attempt,)))


@pytest.mark.parametrize(
    'change',
    [
        {'path': '/other/'},
        {'body': 'other'},
        {'method': 'GET'},
        {'has_key': True},
        {'customer': 'other'},
        {'request': 'unknown'},
    ],
)
def test_a_changed_request_is_found(change):
    attempt, arrival = request()
    changed = attrs.evolve(arrival, **change)
    assert 'unchanged_requests' in found(history((attempt, changed)))
