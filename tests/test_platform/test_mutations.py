"""Checks of a configuration taken away: what is invalid has to show."""

from __future__ import annotations

import pytest

from pistachiopath.relay.verdict import Verdict
from pistachiopath.routes import validation

from . import test_configuration as checks
from . import test_dialect as dialect_checks

ROUTES = ['unknown service', 'unknown service in a split', 'no weight', 'no timeout']


@pytest.mark.parametrize('name', ROUTES)
def test_without_the_checks_of_routes_their_test_fails(monkeypatch, name):
    monkeypatch.setattr(validation, '_check_route', lambda route, services: None)
    with pytest.raises(pytest.fail.Exception):
        checks.test_what_is_invalid_is_refused_with_a_typed_error(name)


def test_without_the_check_of_keys_its_test_fails(monkeypatch):
    monkeypatch.setattr(validation, '_check_keys', lambda routes: None)
    with pytest.raises(pytest.fail.Exception):
        checks.test_what_is_invalid_is_refused_with_a_typed_error('shared key')


def test_where_any_success_counts_the_test_of_signatures_fails(monkeypatch):
    dialect = dialect_checks.PlatformDialect
    monkeypatch.setattr(dialect, 'verdict', lambda self, head: Verdict.SUCCESS)
    with pytest.raises(AssertionError):
        dialect_checks.test_what_an_answer_says(200, [], Verdict.UNPROVEN)
