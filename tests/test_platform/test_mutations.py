"""Mutation tests: tests must fail when a check of the code under test is removed."""

from __future__ import annotations

import pytest

from pistachiopath.relay.verdict import Verdict
from pistachiopath.routes import validation

from . import test_configuration as checks
from . import test_dialect as dialect_checks

ROUTES = ['unknown service', 'unknown service in a split', 'no weight', 'no timeout']


@pytest.mark.parametrize('name', ROUTES)
def test_removing_route_checks_is_detected(monkeypatch, name):
    monkeypatch.setattr(validation, '_check_route', lambda route, services: None)
    with pytest.raises(pytest.fail.Exception):
        checks.test_invalid_configuration_raises(name)


def test_removing_the_key_check_is_detected(monkeypatch):
    monkeypatch.setattr(validation, '_check_keys', lambda routes: None)
    with pytest.raises(pytest.fail.Exception):
        checks.test_invalid_configuration_raises('shared key')


def test_accepting_every_answer_is_detected(monkeypatch):
    dialect = dialect_checks.PlatformDialect
    monkeypatch.setattr(dialect, 'verdict', lambda self, head: Verdict.SUCCESS)
    with pytest.raises(AssertionError):
        dialect_checks.test_verdict_of_an_answer(200, [], Verdict.UNPROVEN)
