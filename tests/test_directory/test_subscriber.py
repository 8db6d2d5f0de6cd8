from __future__ import annotations

from collections import Counter

import attrs
import pytest

from pistachiopath.directory.source import (
    FOLLOW_INTERVAL_S,
    LISTING_LEASE_S,
    MAIN_CONTROL_TIMEOUT_S,
    MAIN_REPLY_TIMEOUT_S,
)
from pistachiopath.directory.sources import MAX_SOURCES
from pistachiopath.directory.subscriber import (
    FIRST_FOLLOW_INTERVAL_S,
    FOLLOW_OTHERS_INTERVAL_S,
    INITIAL_FOLLOW_INTERVAL_S,
    MAX_FIRST_POLLS,
    MAX_NEWS_GAP_S,
    UNLISTED_FOLLOW_INTERVAL_S,
    Subscriber,
)
from pistachiopath.messages.directory import News

CONTROL = 'c1:1'


def subscriber_with_seed():
    subscriber = Subscriber(is_entry=True, own_address='e1:1')
    subscriber.set_seeds((CONTROL,), 0.0)
    return subscriber


def poll_times(subscriber, now, until, step=0.01):
    """Return the times at which the subscriber polls the control node."""
    polled_at = []
    while now < until:
        polled_at += [now for _ in subscriber.tick(now)]
        now += step
    return polled_at


def news_message(version, **fields):
    return News(
        feed=1,
        change=0,
        version=version,
        content=b'{}' if version else b'',
        records=(),
        controls=(CONTROL,),
        entries=0,
        silent=(),
        **fields,
    )


def test_a_control_node_that_starts_later_is_found_soon():
    polled_at = poll_times(subscriber_with_seed(), 0.0, 1.0)
    intervals = [
        after - before for before, after in zip(polled_at, polled_at[1:], strict=False)
    ]
    assert max(intervals) <= INITIAL_FOLLOW_INTERVAL_S + 0.011


def test_a_node_with_a_configuration_polls_at_the_normal_interval():
    subscriber = subscriber_with_seed()
    subscriber.tick(0.0)
    subscriber.on_news(CONTROL, news_message(3), 0.01)
    assert len(poll_times(subscriber, 0.06, 0.06 + 10 * FOLLOW_INTERVAL_S)) <= 10


def test_a_control_node_without_a_configuration_is_polled_at_the_normal_interval():
    subscriber = subscriber_with_seed()
    subscriber.tick(0.0)
    subscriber.on_news(CONTROL, news_message(0), 0.01)
    assert len(poll_times(subscriber, 0.06, 0.06 + 3 * FOLLOW_INTERVAL_S)) <= 4


def poll_times_of(subscriber, address, now, until, step=0.01):
    """Return the times at which one control node is polled; `CONTROL` is heard."""
    polled_at = []
    while now < until:
        subscriber.on_news(CONTROL, news_message(1), now)
        polled_at += [now for send in subscriber.tick(now) if send.to == address]
        now += step
    return polled_at


def test_a_further_control_node_that_starts_later_is_found_soon():
    # Once one control node had answered, the others were polled every 1.2 s only, so
    # that replicas which had announced themselves there stayed unknown.
    subscriber = subscriber_with_seed()
    subscriber.set_seeds((CONTROL, 'c2:1'), 0.0)
    polled_at = poll_times_of(subscriber, 'c2:1', 0.0, 1.5)
    intervals = [
        after - before for before, after in zip(polled_at, polled_at[1:], strict=False)
    ]
    assert max(intervals) <= FIRST_FOLLOW_INTERVAL_S + 0.011


def test_a_control_node_that_stays_silent_is_polled_no_more_than_others():
    subscriber = subscriber_with_seed()
    subscriber.set_seeds((CONTROL, 'c2:1'), 0.0)
    subscriber.link_lost('c2:1')
    poll_times_of(subscriber, 'c2:1', 0.0, MAX_FIRST_POLLS * 0.21)
    subscriber.link_lost('c2:1')
    polled_at = poll_times_of(
        subscriber, 'c2:1', 5.0, 5.0 + 4 * FOLLOW_OTHERS_INTERVAL_S
    )
    assert len(polled_at) <= 5


def test_a_version_never_decreases():
    subscriber = subscriber_with_seed()
    subscriber.on_news(CONTROL, news_message(3), 0.01)
    subscriber.on_news(CONTROL, news_message(2), 0.02)
    assert subscriber.version == 3


def test_the_directory_goes_back_as_far_as_that_of_a_control_node_that_is_heard():
    subscriber = subscriber_with_seed()
    assert subscriber.directory_age_s(5.0) == 0.0
    subscriber.on_news(CONTROL, news_message(1, directory_age_ms=40_000), 5.0)
    assert subscriber.directory_age_s(6.0) == 41.0
    assert subscriber.contact_s(6.0) == 1.0
    subscriber.link_lost(CONTROL)
    assert subscriber.directory_age_s(7.0) == 2.0


def test_the_directory_begins_anew_after_a_long_time_without_news():
    subscriber = subscriber_with_seed()
    subscriber.on_news(CONTROL, news_message(1), 0.0)
    subscriber.on_news(CONTROL, news_message(1), MAX_NEWS_GAP_S - 1)
    assert subscriber.directory_age_s(MAX_NEWS_GAP_S) == MAX_NEWS_GAP_S
    subscriber.on_news(CONTROL, news_message(1), 3 * MAX_NEWS_GAP_S)
    assert subscriber.directory_age_s(3 * MAX_NEWS_GAP_S) == 0.0


def test_a_control_node_that_is_not_heard_may_know_of_other_replicas():
    subscriber = subscriber_with_seed()
    assert subscriber.heard_controls(0.0) == 0.0
    subscriber.on_news(CONTROL, news_message(1), 0.1)
    assert subscriber.heard_controls(0.2) == 1.0
    subscriber.set_seeds((CONTROL, 'c2:1'), 0.2)
    assert subscriber.heard_controls(0.3) == 0.5
    late = LISTING_LEASE_S + 1
    subscriber.on_news(CONTROL, news_message(1), late)
    assert subscriber.heard_controls(late) == 1.0


@pytest.mark.parametrize('phase_s', [0.0, 0.1, 0.2, 0.3])
def test_a_control_node_is_not_taken_for_silent_because_this_node_was_paused(phase_s):
    subscriber = subscriber_with_seed()
    now = reply_until(subscriber, 0.0, 5.0 + phase_s)
    now += MAIN_CONTROL_TIMEOUT_S
    subscriber.tick(now)
    assert subscriber.main(now) == CONTROL
    poll_times(subscriber, now, now + MAIN_REPLY_TIMEOUT_S + 0.02)
    assert subscriber.main(now + MAIN_REPLY_TIMEOUT_S + 0.02) == ''


def test_a_control_node_that_does_not_reply_is_left_in_time():
    subscriber = subscriber_with_seed()
    now = reply_until(subscriber, 0.0, 5.0)
    heard_at = subscriber._sources.get(CONTROL).last_message_at
    poll_times(subscriber, now, heard_at + MAIN_CONTROL_TIMEOUT_S + 0.05)
    assert subscriber.main(heard_at + MAIN_CONTROL_TIMEOUT_S + 0.05) == ''


def reply_until(subscriber, now, until):
    """Let the control node reply to each request; return the time."""
    while now < until:
        for _ in subscriber.tick(now):
            subscriber.on_news(CONTROL, news_message(1), now + 0.002)
        now += 0.01
    return now


def news_listing(*controls):
    return attrs.evolve(news_message(1), controls=controls)


def polls(subscriber, now, until, news=None, step=0.1):
    """Return whom the subscriber polls how often; `news` come from the seed."""
    polled = Counter()
    while now < until:
        if news is not None:
            subscriber.on_news(CONTROL, news, now)
        polled.update(send.to for send in subscriber.tick(now))
        now += step
    return polled


def test_a_node_that_was_cut_off_for_long_asks_all_control_nodes_that_it_knew():
    # Regression (review/7): it forgot all but its seeds, and these were gone.
    subscriber = subscriber_with_seed()
    subscriber.on_news(CONTROL, news_listing(CONTROL, 'c2:1', 'c3:1'), 0.0)
    polls(subscriber, 0.1, 3600.0, step=1.0)
    polled = polls(subscriber, 3600.0, 3602.0)
    assert min(polled[a] for a in (CONTROL, 'c2:1', 'c3:1')) >= 2


def test_a_node_that_hears_only_one_that_was_cut_off_asks_the_others_now_and_then():
    subscriber = subscriber_with_seed()
    subscriber.on_news(CONTROL, news_listing(CONTROL, 'c2:1'), 0.0)
    alone = news_listing(CONTROL)
    polls(subscriber, 0.1, 2 * LISTING_LEASE_S, alone)
    begin = 2 * LISTING_LEASE_S
    polled = polls(subscriber, begin, begin + 4 * UNLISTED_FOLLOW_INTERVAL_S, alone)
    assert 3 <= polled['c2:1'] <= 5
    assert polled[CONTROL] > 30
    subscriber.on_news('c2:1', news_listing('c2:1', 'c4:1'), begin + 30.0)
    assert 'c4:1' in subscriber.controls()


def test_of_many_control_nodes_those_listed_longest_ago_are_forgotten():
    subscriber = subscriber_with_seed()
    for number in range(2 * MAX_SOURCES):
        now = number * LISTING_LEASE_S
        subscriber.on_news(CONTROL, news_listing(CONTROL, f'n{number}:1'), now)
        subscriber.tick(now)
    known = subscriber.controls()
    assert len(known) == MAX_SOURCES
    assert {CONTROL, f'n{2 * MAX_SOURCES - 1}:1'} <= set(known)
    assert 'n0:1' not in known


def test_a_new_version_is_confirmed_to_none_but_the_control_nodes_that_are_listed():
    subscriber = subscriber_with_seed()
    subscriber.on_news(CONTROL, news_listing(CONTROL, 'c2:1'), 0.0)
    late = LISTING_LEASE_S + 1.0
    confirmations = subscriber.on_news(CONTROL, news_message(2), late)
    assert {send.to for send in confirmations} == {CONTROL}


def test_a_control_node_that_others_cannot_reach_is_asked_though_none_lists_it():
    # Regression: the members that a cut-off control node knew of were not asked.
    subscriber = subscriber_with_seed()
    subscriber.on_news(CONTROL, news_message(1, members=('c2:1',)), 0.0)
    assert {send.to for send in subscriber.tick(0.05)} == {CONTROL, 'c2:1'}
    assert subscriber.heard_controls(0.05) == 1.0
    subscriber.on_news('c2:1', news_message(2), 0.1)
    assert subscriber.version == 2
    assert subscriber.heard_controls(0.1) == 1.0
    polled = poll_times_of(subscriber, 'c2:1', 0.1, 3.0)
    assert len(polled) >= 2


def test_a_member_that_is_gone_is_asked_now_and_then():
    subscriber = subscriber_with_seed()
    gone = news_message(1, members=('c2:1',))
    polls(subscriber, 0.0, MAX_FIRST_POLLS * FIRST_FOLLOW_INTERVAL_S, gone)
    polled = polls(subscriber, 10.0, 10.0 + 4 * UNLISTED_FOLLOW_INTERVAL_S, gone)
    assert 3 <= polled['c2:1'] <= 5
