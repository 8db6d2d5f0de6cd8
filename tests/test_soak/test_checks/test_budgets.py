from __future__ import annotations

import attrs

from tests.test_soak.histories import found, history, request
from tools.soak.documents import METERED_CUSTOMER

# Requests of 200 tokens that an allowance and its slack grant in a window.
GRANTED = 32


def metered(count, span_s):
    requests = []
    for number in range(count):
        attempt, arrival = request(
            at=20.0 + span_s * number / count,
            name=f'r{number}',
            customer=METERED_CUSTOMER,
        )
        requests.append((attempt, attrs.evolve(arrival, customer=METERED_CUSTOMER)))
    return history(*requests)


def test_what_a_customer_runs_beyond_its_allowance_is_found():
    assert not found(metered(GRANTED, 7.0))
    assert found(metered(GRANTED + 1, 7.0)) == {'allowance_kept'}
    assert not found(metered(GRANTED + 1, 8.5))


def repeated(count, others=0):
    """Return requests that arrive twice, after others that arrive once."""
    requests = []
    for number in range(count + others):
        attempt, arrival = request(at=20.0 + 0.01 * number, name=f'r{number}')
        again = attrs.evolve(arrival, at=arrival.at + 0.05, ran_at=arrival.at + 0.06)
        arrivals = (arrival, again) if number >= others else (arrival,)
        requests.append((attempt, *arrivals))
    return requests


def test_repeats_beyond_the_budget_of_a_service_are_found():
    assert found(history(*repeated(20))) == {'retry_budget_kept'}
    assert not found(history(*repeated(20, others=20)))
