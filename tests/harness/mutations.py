"""Runs checks on programs with a mechanism disabled, where they have to fail.

A mutation is a function that disables a mechanism through `monkeypatch` and returns
the check of it::

    @each(no_order_check)
    def test_a_check_fails_without_its_mechanism(monkeypatch, mutation):
        check_fails(mutation(monkeypatch))
"""

from __future__ import annotations

import pytest

from pistachiopath.errors.exchange import ExchangeFailed
from pistachiopath.errors.relay import TurnedAway

FAILURES = (AssertionError, ExchangeFailed, TurnedAway, pytest.fail.Exception)


def each(*mutations):
    """Return the mark of a test that runs once for each mutation."""
    return pytest.mark.parametrize('mutation', mutations, ids=lambda m: m.__name__)


def check_fails(check):
    """Assert that a check fails."""
    with pytest.raises(FAILURES):
        check()
