from __future__ import annotations

import time

import gevent

from pistachiopath.util.later import call_later
from tests.harness.waiting import let_pass

DELAY_S = 0.1


def test_a_call_is_not_early_because_the_process_was_paused_before():
    called_after = []
    gevent.sleep(0.01)
    time.sleep(3 * DELAY_S)
    started_at = time.monotonic()
    call_later(DELAY_S, lambda: called_after.append(time.monotonic() - started_at))
    let_pass(2 * DELAY_S)
    assert len(called_after) == 1
    assert called_after[0] >= DELAY_S


def test_a_call_gets_its_arguments():
    calls = []
    call_later(0.0, calls.append, 'a').get(timeout=5.0)
    assert calls == ['a']
