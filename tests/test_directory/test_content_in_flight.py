"""Configurations on links that are slower than the operators' changes."""

from __future__ import annotations

import pytest

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.content_transfers import MAX_CONTENT_BYTES_SENT
from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.messages.directory import Follow, News

from .records import record

CONTENT = b'x' * 500_000


@pytest.fixture
def announcer():
    return Announcer(address='c1', feed=1, silent_after_s=3.6, now=0.0)


def follow(version):
    return Follow(version=version, feed=1, since=0, is_entry=True, wants_content=True)


def sent_versions(effects):
    """Return the versions whose content is among the sends."""
    return [
        send.body.version
        for send in effects
        if isinstance(send.body, News) and send.body.content
    ]


def test_a_slow_follower_gets_one_configuration_at_a_time_and_the_newest_next(
    announcer,
):
    announcer.follow('e1', follow(0), 0.0)
    sent = sent_versions(announcer.publish(1, CONTENT, 0.1))
    for number in range(2, 31):
        now = 0.1 + number * 0.02
        sent += sent_versions(announcer.publish(number, CONTENT, now))
        change = record(replica=f'r{number}')
        sent += sent_versions(announcer.announce(change, now))
        sent += sent_versions(announcer.follow('e1', follow(0), now))
    assert sent == [1]
    assert sent_versions(announcer.follow('e1', follow(1), 0.8)) == [30]


def test_a_configuration_that_was_lost_with_its_link_is_sent_again(announcer):
    announcer.follow('e1', follow(0), 0.0)
    assert sent_versions(announcer.publish(1, CONTENT, 0.1)) == [1]
    announcer.link_lost('e1')
    assert sent_versions(announcer.follow('e1', follow(0), 0.2)) == [1]


def test_a_configuration_that_never_arrives_is_sent_again_after_its_time(announcer):
    announcer.follow('e1', follow(0), 0.0)
    announcer.publish(1, CONTENT, 0.0)
    assert sent_versions(announcer.follow('e1', follow(0), 2.4)) == []
    assert sent_versions(announcer.follow('e1', follow(0), 2.6)) == [1]


def test_a_small_configuration_is_repeated_soon(announcer):
    announcer.follow('e1', follow(0), 0.0)
    announcer.publish(1, b'small', 0.0)
    assert sent_versions(announcer.follow('e1', follow(0), 0.6)) == [1]


def offer(version):
    return News(
        feed=1,
        change=0,
        version=version,
        content=b'',
        records=(),
        controls=(),
        entries=1,
        silent=(),
    )


def wanted_from(entry, now):
    return {send.to for send in entry.tick(now) if send.body.wants_content}


def test_what_the_main_control_node_sends_slowly_is_not_asked_of_others():
    entry = Subscriber(is_entry=True, own_address='e1')
    entry.set_seeds(('c1', 'c2'), 0.0)
    for control in ('c1', 'c2'):
        entry.on_news(control, offer(0), 0.0)
    entry.version = 1
    main = entry.main(0.0)
    entry.tick(0.0)
    for control in ('c1', 'c2'):
        entry.on_news(control, offer(2), 0.1)
    for tenth in range(2, 12):
        assert wanted_from(entry, tenth / 10) <= {main}
    assert len(wanted_from(entry, 1.7)) == 2


def test_control_nodes_ask_each_other_for_no_configuration():
    # Regression: each took a copy from another one, besides that of the log.
    node = Subscriber(is_entry=False, own_address='c3')
    node.set_seeds(('c1', 'c2'), 0.0)
    for tenth in range(30):
        assert wanted_from(node, tenth / 10) == set()
        for control in ('c1', 'c2'):
            node.on_news(control, offer(2), tenth / 10)


def confirm(announcer, name, version, now):
    return announcer.follow(name, follow(version), now)


def receivers(effects):
    """Return the followers that are sent a configuration."""
    return [send.to for send in effects if send.body.content]


def test_large_configurations_are_on_their_way_to_a_few_followers_at_a_time(
    announcer,
):
    # Regression: seventy slow entries had seventy copies in the queues of a node.
    names = [f'e{n:02}' for n in range(70)]
    for name in names:
        announcer.follow(name, follow(0), 0.0)
    started = receivers(announcer.publish(1, CONTENT, 0.1))
    assert len(started) * len(CONTENT) <= MAX_CONTENT_BYTES_SENT
    reached = []
    while started:
        name = started.pop(0)
        reached.append(name)
        started += receivers(confirm(announcer, name, 1, 0.2))
        assert len(started) * len(CONTENT) <= MAX_CONTENT_BYTES_SENT
    assert sorted(reached) == names


def test_followers_that_wait_longest_get_the_next_configuration_first(announcer):
    names = [f'e{n}' for n in range(6)]
    for name in names:
        announcer.follow(name, follow(0), 0.0)
    started = receivers(announcer.publish(1, CONTENT, 0.1))
    announcer.publish(2, CONTENT, 0.2)
    waiting = set(names) - set(started)
    assert set(receivers(confirm(announcer, started[0], 1, 0.3))) <= waiting


def test_a_follower_that_never_confirms_holds_up_the_others_for_a_while_only(
    announcer,
):
    for number in range(6):
        announcer.follow(f'e{number}', follow(0), 0.0)
    started = receivers(announcer.publish(1, CONTENT, 0.0))
    last = f'e{max({0, 1, 2, 3, 4, 5} - {int(name[1:]) for name in started})}'
    announcer.follow(last, follow(0), 2.4)
    assert receivers(announcer.follow(last, follow(0), 2.4)) == []
    assert last in receivers(announcer.follow(last, follow(0), 2.6))
