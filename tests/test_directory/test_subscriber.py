from __future__ import annotations

from pistachiopath.directory.subscriber import FIRST_FOLLOW_S, FOLLOW_S, Subscriber
from pistachiopath.messages.directory import News

CONTROL = 'c1:1'


def started():
    subscriber = Subscriber(is_entry=True, own_address='e1:1')
    subscriber.set_seeds((CONTROL,), 0.0)
    return subscriber


def asks_within(subscriber, now, until, step=0.01):
    """Return the times at which the control node is asked."""
    times = []
    while now < until:
        times += [now for _ in subscriber.tick(now)]
        now += step
    return times


def news(version):
    return News(
        feed=1,
        change=0,
        version=version,
        content=b'{}' if version else b'',
        records=(),
        controls=(CONTROL,),
        entries=0,
        silent=(),
    )


def test_a_control_node_that_starts_later_is_found_at_once():
    times = asks_within(started(), 0.0, 1.0)
    pauses = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert max(pauses) <= FIRST_FOLLOW_S + 0.011


def test_a_node_with_a_configuration_asks_seldom():
    subscriber = started()
    subscriber.tick(0.0)
    subscriber.news(CONTROL, news(3), 0.01)
    assert len(asks_within(subscriber, 0.06, 0.06 + 10 * FOLLOW_S)) <= 10


def test_a_control_node_that_has_no_configuration_either_is_asked_seldom():
    subscriber = started()
    subscriber.tick(0.0)
    subscriber.news(CONTROL, news(0), 0.01)
    assert len(asks_within(subscriber, 0.06, 0.06 + 3 * FOLLOW_S)) <= 4


def test_a_version_never_goes_back():
    subscriber = started()
    subscriber.news(CONTROL, news(3), 0.01)
    subscriber.news(CONTROL, news(2), 0.02)
    assert subscriber.version == 3
