from __future__ import annotations

from pistachiopath.grants.gate import GrantGate
from pistachiopath.messages.grants import (
    GateLoad,
    WatchLoad,
)

from .asks import ask


def test_watchers_are_sent_the_load_only_when_it_changes():
    gate = GrantGate()
    first = gate.watch('e', WatchLoad(slots=2), 0.0)
    assert isinstance(first[0].body, GateLoad)
    effects = gate.ask('f', ask('a'), 0.1)
    loads = [e for e in effects if isinstance(e.body, GateLoad)]
    assert [e.to for e in loads] == ['f', 'e']
    assert loads[0].body.running == 1
    assert gate.tick(0.2) == []


def test_watchers_are_sent_the_load_at_most_once_per_period():
    gate = GrantGate()
    gate.watch('often', WatchLoad(slots=2), 0.0)
    gate.watch('seldom', WatchLoad(slots=2, period_ms=500), 0.0)
    sent = {'often': 0, 'seldom': 0}
    for step in range(1, 41):
        now = 0.05 * step
        effects = gate.ask('e', ask(f'r{step}'), now) + gate.tick(now + 0.01)
        for effect in effects:
            if isinstance(effect.body, GateLoad) and effect.to in sent:
                sent[effect.to] += 1
    assert sent['often'] >= 35
    assert 3 <= sent['seldom'] <= 4


def test_replies_to_an_ask_carry_the_load():
    gate = GrantGate()
    for request in ('a', 'b', 'c'):
        effects = gate.ask('e', ask(request), 0.0)
        load = next(e.body for e in effects if isinstance(e.body, GateLoad))
    assert load.running == 2
    assert [t.waiting for t in load.waiting] == [1]
    # The reply to a repeated ask shows that the gate is reachable.
    again = gate.ask('e', ask('c'), 0.1)
    assert [type(e.body) for e in again] == [GateLoad]
