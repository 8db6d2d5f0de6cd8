"""Followers hold what a control node knows, whatever was lost on the way."""

from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.directory.announcer import Announcer
from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.messages.directory import Follow, News

from .records import record

STEP_S = 0.05
CALM_S = 4.0
ENTRY = 'e1:1'
CONTROLS = ('c1:1', 'c2:1')


class OlderSubscriber(Subscriber):
    """Takes over the number of the newest change, as builds up to c619b5a do."""

    def _follow_changes(self, sender, source, body, now):
        source.feed, source.change, source.full_polls = body.feed, body.change, 0


class LossyFleet:
    """Two control nodes and an entry, whose links lose messages and break."""

    def __init__(self, seed, *, older_controls=False, subscriber=Subscriber):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.older_controls = older_controls
        self.sequences = {}
        self.announcers = {address: self._announcer(address) for address in CONTROLS}
        self.entry = subscriber(is_entry=True, own_address=ENTRY)
        self.entry.set_seeds(CONTROLS, 0.0)
        self.paused_until = 0.0
        self.lost = set()

    def _announcer(self, address):
        return Announcer(
            address=address,
            feed=self.rng.getrandbits(31) + 1,
            silent_after_s=3.6,
            now=self.now,
        )

    def deliver(self, sender, effects):
        for send in effects:
            if sender in self.lost or send.to in self.lost:
                continue
            if isinstance(send.body, News):
                body = send.body
                if self.older_controls:
                    body = attrs.evolve(body, first_change=0)
                if self.now >= self.paused_until:
                    self.deliver(ENTRY, self.entry.on_news(sender, body, self.now))
            elif isinstance(send.body, Follow):
                follow = self.announcers[send.to].follow(sender, send.body, self.now)
                self.deliver(send.to, follow)

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            if self.now >= self.paused_until:
                self.deliver(ENTRY, self.entry.tick(self.now))

    def change(self, replica):
        """A replica announces itself at all control nodes, or starts again."""
        born, sequence = self.sequences.get(replica, (0, 0))
        if self.rng.random() < 0.5:
            born, sequence = born + 1, 0
        self.sequences[replica] = born, sequence + 1
        announced = record(
            replica=replica,
            born_ms=born,
            sequence=sequence + 1,
            address=f'10.0.0.{replica}:80',
            software_version=f'v{born}',
        )
        for address, announcer in self.announcers.items():
            self.deliver(address, announcer.announce(announced, self.now))

    def disturb(self):
        kind = self.rng.choice(['lose', 'reset', 'restart', 'pause', 'heal', 'heal'])
        address = self.rng.choice(CONTROLS)
        if kind == 'lose':
            self.lost.update(self.rng.choice([CONTROLS, (address,)]))
        elif kind == 'reset':
            self.break_link(address)
        elif kind == 'restart':
            known = tuple(self.announcers[address].directory.records())
            self.announcers[address] = self._announcer(address)
            self.announcers[address].load(known, self.now)
            self.entry.link_lost(address)
        elif kind == 'pause':
            self.paused_until = self.now + self.rng.uniform(0.1, 4.0)
        else:
            self.heal()

    def break_link(self, address):
        self.announcers[address].link_lost(ENTRY)
        self.entry.link_lost(address)

    def heal(self):
        """End losses; what was lost has broken the links."""
        for address in self.lost:
            self.break_link(address)
        self.lost.clear()

    def known(self, directory):
        return {r.replica: (r.born_ms, r.state) for r in directory.records()}

    def check(self):
        self.heal()
        self.change('last')
        self.run(CALM_S)
        for announcer in self.announcers.values():
            assert self.known(self.entry.directory) == self.known(announcer.directory)


def play(seed, **kinds):
    fleet = LossyFleet(seed, **kinds)
    for _ in range(40):
        if fleet.rng.random() < 0.4:
            fleet.disturb()
        fleet.change(str(fleet.rng.randrange(30)))
        fleet.run(fleet.rng.choice([0.0, 0.05, 0.3, 1.0]))
    fleet.check()


@pytest.mark.parametrize('older_controls', [False, True])
@pytest.mark.parametrize('subscriber', [Subscriber, OlderSubscriber])
def test_nothing_is_missing_after_losses_in_any_order(older_controls, subscriber):
    # What was pushed to an entry over a lost link counted as received for good.
    for seed in range(60):
        play(seed, older_controls=older_controls, subscriber=subscriber)


@pytest.fixture
def info_logs(caplog):
    caplog.set_level('INFO')
    return caplog


def test_a_push_over_a_new_link_does_not_hide_what_the_old_one_lost(info_logs):
    # Regression: an entry that was cut off kept old records and joined streams of
    # two versions (review, case 3); it might also know no replica of a service.
    fleet = LossyFleet(1)
    fleet.change('1')
    fleet.run(2.0)
    fleet.lost.update(CONTROLS)
    fleet.change('2')
    fleet.lost.clear()
    fleet.change('3')
    assert fleet.entry.directory.get('2') is None
    fleet.run(0.5)
    assert fleet.entry.directory.get('2') is not None
    assert 'news_missed' in info_logs.messages
