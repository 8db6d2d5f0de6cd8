"""Mutation tests: tests must fail when a check of the code under test is removed."""

from __future__ import annotations

import pytest

from pistachiopath.platform import control_api, registration, wire_fields
from pistachiopath.relay.verdict import Verdict
from pistachiopath.routes import validation

from . import test_configuration as checks
from . import test_control_api as api_checks
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


def test_removing_the_check_of_records_is_detected(monkeypatch):
    monkeypatch.setattr(registration, 'check_record', lambda record: None)
    check = api_checks.test_an_odd_announcement_is_refused_and_the_others_hold
    for changes in ({'slots': -5}, {'sequence': -1}, {'zone': 'z' * 1000}):
        with pytest.raises(AssertionError):
            check(changes)


def test_removing_the_check_of_texts_is_detected(monkeypatch):
    monkeypatch.setattr(wire_fields, 'text_error', lambda value, max_chars: '')
    for name in ('half a pair in a customer', 'nul in a customer', 'long customer'):
        with pytest.raises(pytest.fail.Exception):
            checks.test_a_value_that_messages_cannot_carry_makes_a_configuration_invalid(
                name
            )


def test_removing_the_check_of_starts_is_detected(monkeypatch):
    monkeypatch.setattr(control_api, 'check_start', lambda record, time_ms: None)
    with pytest.raises(AssertionError):
        api_checks.test_a_start_in_the_future_does_not_end_a_live_replica(
            10 * api_checks.MINUTE_MS
        )
