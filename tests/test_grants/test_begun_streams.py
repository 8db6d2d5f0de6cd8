from __future__ import annotations

from pistachiopath.grants.gate import GrantGate
from pistachiopath.streams.memory import STREAM_RETENTION_S

from . import asks


def ask(request, stream='c/a', **changes):
    details = {'stream': stream, 'software_version': 'v1', 'attempt': 1}
    return asks.ask(request, **details | changes)


def release(request, first_ms=30):
    return asks.release(request, ok=False, first_ms=first_ms)


def find(gate, now, *streams):
    """Return version, attempt and confirmation of each known stream."""
    (effect,) = gate.find_streams('e2', 7, streams, now)
    assert (effect.to, effect.call) == ('e2', 7)
    return [
        (o.stream, o.software_version, o.attempt, o.is_confirmed)
        for o in effect.body.origins
    ]


def test_a_gate_knows_who_began_a_stream_after_its_entry_lost_power():
    gate = GrantGate()
    gate.ask('e1', ask('a.1'), 0.0)
    gate.entry_lost('e1', 0.5)
    gate.tick(20.0)
    assert find(gate, 20.0, 'c/a', 'c/b') == [('c/a', 'v1', 1, False)]
    assert find(gate, STREAM_RETENTION_S, 'c/a') == []


def test_a_request_that_waits_for_a_place_has_begun_no_stream():
    gate = GrantGate()
    for number in range(3):
        gate.ask('e1', ask(f'{number}.1', stream=f'c/{number}'), 0.0)
    assert [name for name, *_ in find(gate, 0.1, 'c/0', 'c/1', 'c/2')] == ['c/0', 'c/1']


def test_a_run_without_a_first_event_has_begun_no_stream():
    gate = GrantGate()
    gate.ask('e1', ask('a.1'), 0.0)
    gate.release('e1', release('a.1', first_ms=0), 0.1)
    assert find(gate, 0.1, 'c/a') == []


def test_a_resumed_run_without_an_event_does_not_erase_who_began_the_stream():
    gate = GrantGate()
    gate.ask('e1', ask('a.1'), 0.0)
    gate.release('e1', release('a.1'), 0.1)
    assert find(gate, 0.1, 'c/a') == [('c/a', 'v1', 1, True)]
    gate.ask('e2', ask('b.1', is_resumed=True), 0.2)
    gate.release('e2', release('b.1', first_ms=0), 0.3)
    assert find(gate, 0.3, 'c/a') == [('c/a', 'v1', 1, True)]


def test_requests_without_a_stream_are_not_remembered():
    gate = GrantGate()
    gate.ask('e1', ask('a.1', stream=''), 0.0)
    gate.release('e1', release('a.1'), 0.1)
    assert find(gate, 0.1, '') == []
