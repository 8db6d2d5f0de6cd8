from __future__ import annotations

from pistachiopath.grants.gate import GrantGate

from .asks import ask, denied, granted, release


def test_a_resumed_stream_goes_before_new_requests_of_all_tiers():
    gate = GrantGate()
    for name in 'ab':
        gate.ask('e', ask(name), 0.0)
    gate.ask('e', ask('urgent', tier=0), 0.1)
    gate.ask('e', ask('resumed', tier=2, is_resumed=True), 0.2)
    assert granted(gate.release('e', release('a'), 0.3)) == ['resumed']
    assert granted(gate.release('e', release('b'), 0.4)) == ['urgent']


def test_a_resumed_stream_may_use_the_place_that_its_tier_leaves_free():
    gate = GrantGate()
    gate.ask('e', ask('report', tier=0, slots=5), 0.0)
    gate.ask('e', ask('notice', tier=1, slots=5), 0.0)
    for number in range(3):
        gate.ask('e', ask(f'tag{number}', tier=2, slots=5), 0.0)
    resumed = ask('resumed', tier=2, slots=5, is_resumed=True)
    assert granted(gate.ask('e', resumed, 0.1)) == ['resumed']
    assert gate.running == 5


def test_a_resumed_stream_waits_while_its_caller_does():
    gate = GrantGate()
    for name in ('a', 'b'):
        gate.ask('e', ask(name, output_tokens=4000, deadline_ms=15_000), 0.0)
    late = {'patience_ms': 1000, 'output_tokens': 4000}
    assert denied(gate.ask('e', ask('new', **late), 0.0)) == ['new']
    assert denied(gate.ask('e', ask('resumed', **late, is_resumed=True), 0.0)) == []
    assert denied(gate.tick(0.9)) == []
    assert denied(gate.tick(1.0)) == ['resumed']
