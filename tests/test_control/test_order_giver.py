from __future__ import annotations

from pistachiopath.control.order_giver import RECONCILE_S, OrderGiver


def test_orders_wait_until_the_fencing_number_is_applied():
    giver = OrderGiver(now=0.0)
    assert giver.needs_fence
    assert not giver.is_due(100, 1.0)
    giver.set_fence(7)
    assert not giver.is_due(6, 1.0)
    assert giver.is_due(7, 1.0)
    assert not giver.is_due(7, 1.0 + RECONCILE_S / 2)
    assert giver.is_due(7, 1.0 + RECONCILE_S)


def test_no_orders_are_due_after_the_leadership_ends():
    giver = OrderGiver(now=0.0)
    giver.set_fence(7)
    giver.reset()
    assert giver.needs_fence
    assert not giver.is_due(100, 10.0)
