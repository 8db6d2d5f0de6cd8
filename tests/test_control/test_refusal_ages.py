from __future__ import annotations

from pistachiopath.control.refusal_ages import RefusalAges
from pistachiopath.messages.claims import ClaimReply


def refused(index, age_ms=90_000):
    return ClaimReply(status='refused', refusal_index=index, refused_age_ms=age_ms)


def test_an_age_counts_from_when_this_replica_applied_the_refusal():
    # Failing first: the age came from leaders' wall clocks, so a new leader
    # whose clock was ahead took an older submission for a new try.
    ages = RefusalAges()
    assert ages.dated(refused(7), 100.0).refused_age_ms == 0
    assert ages.dated(refused(7), 100.5).refused_age_ms == 500
    assert ages.dated(refused(8), 101.0).refused_age_ms == 0


def test_other_replies_are_left_alone():
    reply = ClaimReply(status='bound', binding=3)
    assert RefusalAges().dated(reply, 1.0) is reply
