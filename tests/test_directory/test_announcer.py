from __future__ import annotations

from pistachiopath.directory.announcer import CONTROL_RETENTION_S, Announcer
from pistachiopath.directory.directory import GONE_RETENTION_S
from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.messages.directory import Announcements, Follow, News

from .records import record


class Nodes:
    """Control nodes and followers that exchange messages without delay."""

    def __init__(self, controls=('c1', 'c2'), entries=('e1',)):
        self.now = 0.0
        self.announcers = {
            name: Announcer(address=name, feed=n + 1, silent_after_s=3.6, now=0.0)
            for n, name in enumerate(controls)
        }
        self.peers = {
            name: Subscriber(is_entry=False, own_address=name) for name in controls
        }
        self.entries = {
            name: Subscriber(is_entry=True, own_address=name) for name in entries
        }
        self.unreachable = set()
        for node in (*self.peers.values(), *self.entries.values()):
            node.set_seeds(tuple(controls), 0.0)
        self.poll()

    def poll(self):
        for name, node in (*self.peers.items(), *self.entries.items()):
            self.send(name, node.tick(self.now))

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.1, 3)
            self.poll()

    def send(self, sender, effects):
        for effect in effects:
            if not {sender, effect.to} & self.unreachable:
                self.deliver(sender, effect.to, effect.body)

    def deliver(self, sender, to, body):
        if isinstance(body, Follow):
            self.send(to, self.announcers[to].follow(sender, body, self.now))
        elif isinstance(body, Announcements):
            self.send(to, self.announcers[to].merge_announcements(body, self.now))
        elif isinstance(body, News):
            node = self.entries.get(to) or self.peers[to]
            self.send(to, node.on_news(sender, body, self.now))
            if to in self.announcers:
                self.announcers[to].control_seen(sender, self.now)

    def announce(self, control, replica_record):
        self.send(control, self.announcers[control].announce(replica_record, self.now))


def publish(nodes, version):
    """Publish a committed configuration at all control nodes."""
    for name, node in nodes.announcers.items():
        content = b'v%d' % version
        nodes.send(name, node.publish(version, content, nodes.now))


def test_a_drain_reaches_entries_at_once_through_any_control_node():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.announce('c1', record())
    nodes.announce('c2', record(sequence=2, state='draining'))
    assert nodes.entries['e1'].directory.get('r1').state == 'draining'


def test_an_entry_with_one_control_node_gets_announcements_made_at_the_other():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.entries['e1']._sources.forget('c1')
    nodes.announcers['c1']._followers.pop('e1')
    nodes.announce('c1', record())
    assert nodes.entries['e1'].directory.get('r1') is not None


def test_a_replica_is_silent_only_if_it_announces_to_no_control_node():
    nodes = Nodes()
    nodes.advance(1.0)
    for step in range(8):
        nodes.announce('c1', record(sequence=step + 1))
        nodes.advance(1.0)
    assert not nodes.entries['e1'].is_silent('r1', nodes.now)
    nodes.advance(5.0)
    assert nodes.entries['e1'].is_silent('r1', nodes.now)


def test_known_replicas_stay_in_use_while_no_control_node_replies():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.announce('c1', record())
    nodes.unreachable = {'c1', 'c2'}
    nodes.advance(30.0)
    entry = nodes.entries['e1']
    assert entry.live_controls(nodes.now) == 0
    assert entry.directory.get('r1').state == 'ready'
    assert not entry.is_silent('r1', nodes.now)


def test_a_configuration_is_pushed_and_acknowledged_and_never_reverts():
    nodes = Nodes()
    nodes.advance(1.0)
    announcer = nodes.announcers['c1']
    assert not announcer.all_entries_hold(7, nodes.now)
    nodes.send('c1', announcer.publish(7, b'seven', nodes.now))
    assert nodes.entries['e1'].content == b'seven'
    assert announcer.all_entries_hold(7, nodes.now)
    nodes.send('c2', nodes.announcers['c2'].publish(5, b'five', nodes.now))
    assert nodes.entries['e1'].version == 7


def record_content_sent(nodes):
    """Return a list that collects each configuration sent to an entry.

    Its items are pairs of sender and entry.
    """
    sent = []
    deliver = nodes.deliver

    def recording(sender, to, body):
        if isinstance(body, News) and body.content and to in nodes.entries:
            sent.append((sender, to))
        deliver(sender, to, body)

    nodes.deliver = recording
    return sent


def test_each_entry_gets_a_configuration_from_one_control_node():
    # Regression: every control node sent it to every entry.  That was five times
    # what a link can carry in the time allowed for a configuration.
    entries = tuple(f'e{n}' for n in range(20))
    nodes = Nodes(controls=('c1', 'c2', 'c3'), entries=entries)
    nodes.advance(2.0)
    publish(nodes, 1)
    nodes.advance(2.0)
    sent = record_content_sent(nodes)
    publish(nodes, 2)
    nodes.advance(1.0)
    assert sorted(to for _, to in sent) == sorted(entries)
    assert {sender for sender, _ in sent} == {'c1', 'c2', 'c3'}
    assert all(n.version == 2 for n in nodes.entries.values())


def test_a_configuration_comes_from_another_control_node_if_the_main_one_is_late():
    nodes = Nodes(controls=('c1', 'c2', 'c3'))
    nodes.advance(2.0)
    publish(nodes, 1)
    nodes.advance(1.0)
    main = nodes.entries['e1'].main(nodes.now)
    nodes.unreachable = {main}
    publish(nodes, 2)
    nodes.advance(0.6)
    assert nodes.entries['e1'].version == 2


def test_an_entry_keeps_its_main_control_node_while_it_is_alive():
    nodes = Nodes(controls=('c1', 'c2', 'c3'))
    nodes.advance(2.0)
    entry = nodes.entries['e1']
    main = entry.main(nodes.now)
    nodes.unreachable = {main}
    nodes.advance(2.0)
    other = entry.main(nodes.now)
    assert other not in ('', main)
    nodes.unreachable = set()
    nodes.advance(2.0)
    assert entry.main(nodes.now) == other


def test_a_restarted_control_node_gets_all_records_from_the_others():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.announce('c1', record())
    nodes.announcers['c1'] = Announcer(
        address='c1', feed=77, silent_after_s=3.6, now=nodes.now
    )
    nodes.advance(1.0)
    entry_record = nodes.entries['e1'].directory.get('r1')
    assert entry_record.state == 'ready'
    nodes.announcers['c1'].merge_announcements(
        Announcements(records=nodes.announcers['c2'].directory.since(0)), nodes.now
    )
    assert nodes.announcers['c1'].directory.get('r1') == entry_record


def directory_age_s(announcer, now):
    follow = Follow(version=0, feed=0, since=0, is_entry=True)
    (effect,) = announcer.follow('e1', follow, now)
    return effect.body.directory_age_ms / 1000


def test_a_directory_goes_back_beyond_a_restart_once_silent_replicas_are_known():
    announcer = Announcer(address='c1', feed=1, silent_after_s=3.6, now=10.0)
    announcer.load((record(),), 10.0)
    assert directory_age_s(announcer, 12.0) == 2.0
    assert directory_age_s(announcer, 14.0) == 4.0 + GONE_RETENTION_S
    empty = Announcer(address='c2', feed=1, silent_after_s=3.6, now=10.0)
    empty.load((), 10.0)
    assert directory_age_s(empty, 14.0) == 4.0


def test_at_the_first_start_of_the_system_no_replica_has_served_before():
    announcer = Announcer(
        address='c1', feed=1, silent_after_s=3.6, now=10.0, is_first_start=True
    )
    assert directory_age_s(announcer, 10.5) == 0.5 + GONE_RETENTION_S


def test_members_of_the_group_are_named_until_they_are_seen():
    announcer = Announcer(address='c1', feed=1, silent_after_s=3.6, now=0.0)
    announcer.set_members(('c2', 'c3'))
    announcer.control_seen('c2', 0.0)
    follow = Follow(version=0, feed=0, since=0, is_entry=True, wants_content=False)
    (reply,) = announcer.follow('e1', follow, 1.0)
    assert reply.body.controls == ('c1', 'c2')
    assert reply.body.members == ('c3',)
    (reply,) = announcer.follow('e1', follow, CONTROL_RETENTION_S)
    assert reply.body.controls == ('c1',)
    assert reply.body.members == ('c2', 'c3')
