from __future__ import annotations

from pistachiopath.control.refusal_ages import RefusalAges
from pistachiopath.messages.claims import ClaimReply


def refused_reply(index, age_ms=90_000):
    return ClaimReply(status='refused', refusal_index=index, refused_age_ms=age_ms)


def test_age_counts_from_when_this_replica_applied_the_refusal():
    # Regression: the age was computed from the wall clocks of leaders, so a new
    # leader whose clock was ahead treated an older submission as a new try.
    ages = RefusalAges()
    assert ages.with_age(refused_reply(7), 100.0).refused_age_ms == 0
    assert ages.with_age(refused_reply(7), 100.5).refused_age_ms == 500
    assert ages.with_age(refused_reply(8), 101.0).refused_age_ms == 0


def test_replies_without_a_refusal_are_unchanged():
    reply = ClaimReply(status='bound', binding=3)
    assert RefusalAges().with_age(reply, 1.0) is reply
