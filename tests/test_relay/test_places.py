from __future__ import annotations

import time

import gevent
import pytest

from pistachiopath.errors.relay import GateLost, PlaceDenied
from pistachiopath.messages.grants import Ask, Denied, Granted, ReleasePlace
from pistachiopath.relay import places as places_module
from pistachiopath.relay.places import FIRST_REPLY_TIMEOUT_S, Places
from tests.harness.waiting import let_pass, wait_until

ASK = Ask(
    request='a',
    tier=0,
    customer='',
    prompt_tokens=1,
    output_tokens=1,
    objective_ms=100,
    deadline_ms=1000,
    slots=1,
)


class Gate:
    def __init__(self):
        self.sent = []
        self.places = Places(send=lambda to, call, body: self.sent.append(body))

    def ask(self, should_move=lambda: False):
        return gevent.spawn(self.places.acquire, 'g', ASK, should_move)


def test_a_granted_place_is_acquired_and_released():
    gate = Gate()
    waiting = gate.ask()
    gevent.sleep(0)
    gate.places.handle_reply('g', Granted(request='a'))
    grant = waiting.get(timeout=5)
    gate.places.release(grant, 20, ok=True)
    assert gate.sent == [ASK, ReleasePlace(request='a', first_ms=20, ok=True)]


def test_a_request_that_stops_waiting_releases_its_place():
    gate = Gate()
    waiting = gate.ask()
    gevent.sleep(0)
    waiting.kill()
    assert isinstance(gate.sent[-1], ReleasePlace)
    # The gate sent its grant before the release arrived.
    gate.places.handle_reply('g', Granted(request='a'))
    assert [type(body) for body in gate.sent] == [Ask, ReleasePlace, ReleasePlace]


@pytest.mark.parametrize(
    ('event', 'error'),
    [
        (
            lambda p: p.handle_reply('g', Denied(request='a', retry_after_ms=300)),
            PlaceDenied,
        ),
        (lambda p: p.handle_lost('g'), GateLost),
    ],
)
def test_a_denial_and_a_lost_gate_end_the_wait(event, error):
    gate = Gate()
    waiting = gate.ask()
    gevent.sleep(0)
    event(gate.places)
    with pytest.raises(error):
        waiting.get(timeout=5)


def test_a_gate_that_sends_nothing_counts_as_lost():
    silent = []
    gate = Gate()
    gate.places = Places(send=lambda *_: None, on_silent=silent.append)
    with pytest.raises(GateLost):
        gate.ask().get(timeout=5)
    assert silent == ['g']


def test_a_load_report_keeps_a_request_waiting_and_triggers_a_move_check():
    gate = Gate()
    move_checks = []
    waiting = gate.ask(lambda: bool(move_checks.append(1)))
    gevent.sleep(0)
    gate.places.handle_load('g')
    wait_until(lambda: move_checks)
    let_pass(2 * FIRST_REPLY_TIMEOUT_S)
    assert not waiting.ready()
    gate.places.handle_reply('g', Granted(request='a'))
    assert waiting.get(timeout=5).gate == 'g'


def test_an_unanswered_ask_is_sent_again_until_the_request_moves(monkeypatch):
    monkeypatch.setattr(places_module, 'FIRST_REPLY_TIMEOUT_S', 60.0)
    gate = Gate()
    assert gate.ask(lambda: len(gate.sent) == 2).get(timeout=10) is None
    assert gate.sent[:2] == [ASK, ASK]


def test_a_gate_is_not_taken_for_silent_because_this_process_was_paused():
    gate = Gate()
    waiting = gate.ask()
    gevent.sleep(0)
    time.sleep(FIRST_REPLY_TIMEOUT_S + 0.1)
    wait_until(lambda: len(gate.sent) == 2)
    gate.places.handle_reply('g', Granted(request='a'))
    assert waiting.get(timeout=5).request == 'a'


def test_a_second_request_of_the_same_name_does_not_disturb_the_first():
    # Regression: neither was notified, and the place of the first was kept.
    gate = Gate()
    first = gate.ask()
    gevent.sleep(0)
    second = gate.ask()
    with pytest.raises(PlaceDenied):
        second.get(timeout=5)
    gate.places.handle_reply('g', Granted(request='a'))
    grant = first.get(timeout=5)
    gate.places.release(grant, 20, ok=True)
    assert gate.sent == [ASK, ReleasePlace(request='a', first_ms=20, ok=True)]
