from __future__ import annotations

from pistachiopath.grants.gate import GrantGate
from pistachiopath.grants.tiers import RATE_DECAY_S, Tiers

from .asks import ask, denied, release


def test_a_gate_without_grants_of_a_tier_yet_does_not_deny_by_their_rate():
    # Regression: in the seconds after a restart of all VMs, gates denied every
    # request that was behind two others of its tier.
    gate = GrantGate()
    for number in range(4):
        gate.ask('e', ask(f'urgent{number}', tier=0, slots=2), 0.0)
    for number in range(9):
        tag = ask(f'tag{number}', tier=2, slots=2)
        assert denied(gate.ask('e', tag, 0.1)) == []
    infeasible = ask('infeasible', tier=2, slots=2, deadline_ms=200)
    assert denied(gate.ask('e', infeasible, 0.1)) == ['infeasible']


def test_the_grant_rate_of_a_gate_that_has_just_started_covers_its_own_time():
    # Regression: the grants of one second were divided by three seconds, so the rate
    # of a gate that had just started was a third of the real one.
    gate = GrantGate()
    now = 0.0
    gate.ask('e', ask('urgent', tier=0, slots=1), now)
    gate.release('e', release('urgent'), now)
    for number in range(10):
        gate.ask('e', ask(f'tag{number}', tier=2, slots=1), now)
        now += 0.1
        gate.release('e', release(f'tag{number}'), now)
    gate.ask('e', ask('running', tier=2, slots=1), now)
    # At ten grants a second the last of these waits for 1.9 s.
    for number in range(20):
        waits = ask(f'waits{number}', tier=2, slots=1, deadline_ms=2300)
        assert denied(gate.ask('e', waits, now)) == []


def test_the_grant_rate_of_a_gate_in_use_for_long_is_a_mean_over_the_decay():
    tiers = Tiers()
    tiers.record_request(1, 0.0)
    rates = []
    for number in range(200):
        now = 0.1 * number
        tiers.record_grant(1, set(), now)
        rates.append(tiers.grants_per_s(1, now + 0.05))
    assert all(9.5 < rate < 20.0 for rate in rates)
    assert all(9.5 < rate < 10.5 for rate in rates[30:])
    assert tiers.grants_per_s(1, now + RATE_DECAY_S) < 4.0
