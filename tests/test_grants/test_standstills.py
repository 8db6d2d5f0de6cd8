"""A gate that goes on after a standstill."""

from __future__ import annotations

import time

import pytest

from pistachiopath.grants.gate import LOST_ENTRY_HOLD_S
from pistachiopath.grants.shell import GateShell
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.waiting import let_pass, wait_until
from tools.free_address import free_address

from .asks import ask


@pytest.fixture
def gate():
    shell = GateShell(address=free_address(), secret=b's', metrics=Metrics())
    shell.start()
    let_pass(0.1)
    yield shell.gate
    shell.stop()


def lose_entry_in_a_standstill(gate):
    """Lose the link to an entry, and stand still for longer than its places stay."""
    gate.ask('e', ask('a', deadline_ms=60_000), time.monotonic())
    gate.entry_lost('e', time.monotonic())
    time.sleep(LOST_ENTRY_HOLD_S + 0.3)


def test_places_whose_entry_could_not_be_heard_are_not_given_to_others(gate):
    lose_entry_in_a_standstill(gate)
    # The timer runs before the entry's message is read.
    let_pass(0.1)
    gate.keep('e', ('a',), time.monotonic())
    let_pass(LOST_ENTRY_HOLD_S + 0.2)
    assert gate.running == 1


def test_places_of_an_entry_that_is_gone_are_freed_after_a_standstill(gate):
    lose_entry_in_a_standstill(gate)
    wait_until(lambda: not gate.running)
