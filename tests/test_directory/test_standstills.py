"""A control node that goes on after a standstill."""

from __future__ import annotations

from pistachiopath.directory.announcer import Announcer
from pistachiopath.messages.directory import Announcements, Follow, News

from .records import record

SILENT_AFTER_S = 3.6
TICK_S = 0.05


class ControlNode:
    """An announcer whose timer runs, but for the time that it stands still."""

    def __init__(self):
        self.now = 0.0
        self.announcer = Announcer(
            address='c1', feed=1, silent_after_s=SILENT_AFTER_S, now=0.0
        )

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            self.announcer.prune(self.now)

    def stand_still(self, seconds):
        self.now += seconds
        self.announcer.prune(self.now)

    def announce(self, replica):
        return self.announcer.announce(record(replica=replica), self.now)

    def follow(self, entry, version=0):
        body = Follow(version=version, feed=1, since=0, is_entry=True)
        effects = self.announcer.follow(entry, body, self.now)
        return [e.body for e in effects if isinstance(e.body, News)][0]


def test_replicas_that_could_not_be_heard_are_not_silent():
    node = ControlNode()
    node.run(SILENT_AFTER_S)
    for replica in ('r0', 'r1'):
        node.announce(replica)
    node.run(0.5)
    node.stand_still(5.0)
    assert node.follow('e1').silent == ()
    node.announce('r0')
    node.run(SILENT_AFTER_S - 0.2)
    node.announce('r0')
    node.run(0.4)
    assert node.follow('e1').silent == ('r1',)


def test_short_delays_of_a_busy_node_hide_no_silent_replica():
    node = ControlNode()
    node.announce('r0')
    for _ in range(10):
        node.run(0.2)
        node.stand_still(0.5)
    assert node.follow('e1').silent == ('r0',)


def test_entries_that_could_not_be_heard_still_count():
    # Each entry serves its share of an allowance by their number.
    node = ControlNode()
    for entry in ('e1', 'e2', 'e3'):
        node.follow(entry)
    node.run(0.5)
    node.stand_still(25.0)
    assert node.follow('e1').entries == 3
    node.run(21.0)
    assert node.follow('e1').entries == 1


def test_a_version_counts_as_held_once_the_entries_say_so():
    node = ControlNode()
    node.follow('e1')
    node.run(0.5)
    node.stand_still(4.0)
    node.announcer.publish(1, b'content', node.now)
    assert not node.announcer.all_entries_hold(1, node.now)
    node.follow('e1', version=1)
    assert node.announcer.all_entries_hold(1, node.now)


def test_announcements_go_to_the_control_nodes_that_could_not_be_heard():
    node = ControlNode()
    node.announcer.control_seen('c2', node.now)
    node.run(0.5)
    node.stand_still(25.0)
    sends = node.announce('r0')
    assert [e.to for e in sends if isinstance(e.body, Announcements)] == ['c2']
