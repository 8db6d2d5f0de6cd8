from __future__ import annotations

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.messages.directory import Announcements, Follow, News

from .records import record


class Nodes:
    """Control nodes and followers that exchange messages at once."""

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
        self.cut = set()
        for node in (*self.peers.values(), *self.entries.values()):
            node.set_seeds(tuple(controls), 0.0)
        self.follow()

    def follow(self):
        for name, node in (*self.peers.items(), *self.entries.items()):
            self.send(name, node.tick(self.now))

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + 0.1, 3)
            self.follow()

    def send(self, sender, effects):
        for effect in effects:
            if not {sender, effect.to} & self.cut:
                self.deliver(sender, effect.to, effect.body)

    def deliver(self, sender, to, body):
        if isinstance(body, Follow):
            self.send(to, self.announcers[to].follow(sender, body, self.now))
        elif isinstance(body, Announcements):
            self.send(to, self.announcers[to].forwarded(body, self.now))
        elif isinstance(body, News):
            node = self.entries.get(to) or self.peers[to]
            self.send(to, node.news(sender, body, self.now))
            if to in self.announcers:
                self.announcers[to].heard_control(sender, self.now)

    def announce(self, control, item):
        self.send(control, self.announcers[control].announce(item, self.now))


def put_in_force(nodes, version):
    """Let all control nodes have a committed configuration."""
    for name, node in nodes.announcers.items():
        content = b'v%d' % version
        nodes.send(name, node.put_in_force(version, content, nodes.now))


def test_a_drain_reaches_entries_at_once_through_any_control_node():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.announce('c1', record())
    nodes.announce('c2', record(sequence=2, state='draining'))
    assert nodes.entries['e1'].directory.get('r1').state == 'draining'


def test_an_entry_that_hears_one_control_node_learns_what_the_other_took_in():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.entries['e1']._sources.pop('c1')
    nodes.announcers['c1']._followers.pop('e1')
    nodes.announce('c1', record())
    assert nodes.entries['e1'].directory.get('r1') is not None


def test_a_replica_is_silent_only_if_no_control_node_hears_it():
    nodes = Nodes()
    nodes.advance(1.0)
    for step in range(8):
        nodes.announce('c1', record(sequence=step + 1))
        nodes.advance(1.0)
    assert not nodes.entries['e1'].is_silent('r1', nodes.now)
    nodes.advance(5.0)
    assert nodes.entries['e1'].is_silent('r1', nodes.now)


def test_what_is_known_stays_in_use_while_no_control_node_answers():
    nodes = Nodes()
    nodes.advance(1.0)
    nodes.announce('c1', record())
    nodes.cut = {'c1', 'c2'}
    nodes.advance(30.0)
    entry = nodes.entries['e1']
    assert entry.live_controls(nodes.now) == 0
    assert entry.directory.get('r1').state == 'ready'
    assert not entry.is_silent('r1', nodes.now)


def test_a_configuration_is_pushed_acknowledged_and_never_goes_back():
    nodes = Nodes()
    nodes.advance(1.0)
    announcer = nodes.announcers['c1']
    assert not announcer.all_hold(7, nodes.now)
    nodes.send('c1', announcer.put_in_force(7, b'seven', nodes.now))
    assert nodes.entries['e1'].content == b'seven'
    assert announcer.all_hold(7, nodes.now)
    nodes.send('c2', nodes.announcers['c2'].put_in_force(5, b'five', nodes.now))
    assert nodes.entries['e1'].version == 7


def content_sent(nodes):
    """Return how many configurations are sent to entries from now on."""
    sent = []
    deliver = nodes.deliver

    def counting(sender, to, body):
        if isinstance(body, News) and body.content and to in nodes.entries:
            sent.append((sender, to))
        deliver(sender, to, body)

    nodes.deliver = counting
    return sent


def test_each_entry_takes_a_configuration_from_one_control_node():
    # Failing first: every control node sent it to every entry: five times what
    # a link carries within the time that a configuration has.
    entries = tuple(f'e{n}' for n in range(20))
    nodes = Nodes(controls=('c1', 'c2', 'c3'), entries=entries)
    nodes.advance(2.0)
    put_in_force(nodes, 1)
    nodes.advance(2.0)
    sent = content_sent(nodes)
    put_in_force(nodes, 2)
    nodes.advance(1.0)
    assert sorted(to for _, to in sent) == sorted(entries)
    assert {sender for sender, _ in sent} == {'c1', 'c2', 'c3'}
    assert all(n.version == 2 for n in nodes.entries.values())


def test_a_configuration_comes_from_another_where_the_main_one_is_late():
    nodes = Nodes(controls=('c1', 'c2', 'c3'))
    nodes.advance(2.0)
    put_in_force(nodes, 1)
    nodes.advance(1.0)
    main = nodes.entries['e1'].main(nodes.now)
    nodes.cut = {main}
    put_in_force(nodes, 2)
    nodes.advance(0.6)
    assert nodes.entries['e1'].version == 2


def test_an_entry_keeps_its_main_control_node_while_it_answers():
    nodes = Nodes(controls=('c1', 'c2', 'c3'))
    nodes.advance(2.0)
    entry = nodes.entries['e1']
    main = entry.main(nodes.now)
    nodes.cut = {main}
    nodes.advance(2.0)
    other = entry.main(nodes.now)
    assert other not in ('', main)
    nodes.cut = set()
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
    held = nodes.entries['e1'].directory.get('r1')
    assert held.state == 'ready'
    nodes.announcers['c1'].forwarded(
        Announcements(records=nodes.announcers['c2'].directory.since(0)), nodes.now
    )
    assert nodes.announcers['c1'].directory.get('r1') == held
