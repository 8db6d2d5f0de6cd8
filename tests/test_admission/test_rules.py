from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.admission.rate_limit import TokenBucket
from pistachiopath.admission.rules import Rules
from pistachiopath.configuration.configuration import Configuration, Customer
from pistachiopath.errors.admission import BadRequest


def configuration(rate=1.0, burst=3, name='press'):
    customer = Customer(
        name=name, key_sha256='0' * 64, requests_per_s=rate, burst=burst
    )
    return Configuration(deployment='d', tiers=(), customers=(customer,), work=())


def allowed(rules, at, tries=50):
    """Return how many requests of the one customer are allowed at time `at`."""
    (customer,) = rules.configuration.customers
    for number in range(tries):
        try:
            rules.limit(customer, at)
        except BadRequest as exc:
            assert exc.retry_after_ms > 0
            return number
    return tries


def test_a_new_configuration_does_not_refill_a_limit():
    # Regression: each accepted change let every customer burst again.
    rules = Rules(configuration=configuration())
    assert allowed(rules, 0.0) == 3
    rules = Rules(configuration=configuration(), before=rules)
    assert allowed(rules, 0.0) == 0
    assert allowed(rules, 2.0) == 2


def test_a_changed_limit_applies_to_the_next_request():
    rules = Rules(configuration=configuration())
    assert allowed(rules, 0.0) == 3
    rules = Rules(configuration=configuration(rate=10.0, burst=5), before=rules)
    assert allowed(rules, 0.3) == 3
    rules = Rules(configuration=configuration(rate=1.0, burst=1), before=rules)
    assert allowed(rules, 100.0) == 1


def test_the_limit_of_a_removed_customer_is_dropped():
    rules = Rules(configuration=configuration(name='old'))
    assert allowed(rules, 0.0) == 3
    rules = Rules(configuration=configuration(name='new'), before=rules)
    rules = Rules(configuration=configuration(name='old'), before=rules)
    assert allowed(rules, 0.0) == 3


@pytest.mark.parametrize(('rate', 'burst'), [(1.0, 1), (2.0, 5), (20.0, 3)])
@given(gaps=st.lists(st.floats(0.0, 2.0), max_size=60))
def test_no_interval_allows_more_than_burst_plus_rate(rate, burst, gaps):
    bucket = TokenBucket(rate=rate, burst=burst, level=burst, updated_at=0.0)
    allowed_at = []
    now = 0.0
    for gap in gaps:
        now += gap
        if bucket.take(now) == 0.0:
            allowed_at.append(now)
    for first in range(len(allowed_at)):
        for last in range(first, len(allowed_at)):
            limit = burst + rate * (allowed_at[last] - allowed_at[first])
            assert last - first + 1 <= limit + 1e-6
