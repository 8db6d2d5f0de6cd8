"""What a leader sends to followers that are slow, far behind or were cut off."""

from __future__ import annotations

import random

import attrs
import pytest

from pistachiopath.effects import Send
from pistachiopath.messages.replication import (
    Append,
    AppendPart,
    Entry,
    InstallSnapshot,
    Member,
)
from pistachiopath.replication.entry_kind import EntryKind
from pistachiopath.replication.persisted import Persisted
from pistachiopath.replication.replica import Replica
from pistachiopath.replication.timing import Timing

MEMBERS = tuple(Member(member=name, address=f'{name}:1') for name in 'abc')
TIMING = Timing(part_bytes=100, window_bytes=1000)
SMALL = bytes(50)
LARGE = bytes(range(250))


def replica(name, **persisted):
    first = Entry(index=1, term=0, kind=EntryKind.MEMBERS, time_ms=0, members=MEMBERS)
    state = Persisted(member=name, entries=(first,))
    return Replica(
        address=f'{name}:1',
        persisted=attrs.evolve(state, **persisted),
        rng=random.Random(1),
        now=0.0,
        timing=TIMING,
    )


@attrs.define(kw_only=True)
class Pair:
    """A leader and one of its two followers; the other one only votes."""

    leader: Replica
    follower: Replica
    now: float = 1.0

    def messages(self, effects):
        """Return what the leader sends to the follower."""
        return [
            effect.body
            for effect in effects
            if isinstance(effect, Send) and effect.to == self.follower.address
        ]

    def propose(self, command):
        _, effects = self.leader.propose(
            EntryKind.COMMAND, self.now, 0, command=command
        )
        return self.messages(effects + self.leader.flush(self.now))

    def tick(self, after_s=0.1):
        self.now += after_s
        return self.messages(self.leader.tick(self.now))

    def answer(self, messages):
        """Let the follower answer; return what the leader sends then."""
        sent = []
        for body in messages:
            for reply in self.follower.receive('a:1', body, self.now):
                if isinstance(reply, Send):
                    effects = self.leader.receive('b:1', reply.body, self.now)
                    sent += self.messages(effects)
        return sent

    def exchange(self, messages):
        """Exchange messages until both are silent; return what the leader sent."""
        sent = []
        while messages:
            sent += messages
            messages = self.answer(messages)
        return sent


@pytest.fixture
def pair():
    leader = replica('a')
    other = replica('c')
    effects = leader.tick(1.0)
    for _ in range(2):
        votes = [e for e in effects if isinstance(e, Send) and e.to == 'c:1']
        effects = []
        for vote in votes:
            for reply in other.receive('a:1', vote.body, 1.0):
                if isinstance(reply, Send):
                    effects += leader.receive('c:1', reply.body, 1.0)
    assert leader.is_leader
    pair = Pair(leader=leader, follower=replica('b'))
    pair.exchange(pair.messages(effects))
    return pair


def data_sizes(messages):
    return [
        len(body.data)
        for body in messages
        if isinstance(body, (AppendPart, InstallSnapshot))
    ]


def test_a_large_record_is_sent_in_parts_and_arrives_whole(pair):
    sent = pair.exchange(pair.propose(LARGE))
    assert data_sizes(sent) == [100, 100, 50]
    assert pair.follower.log.get(pair.leader.log.last_index).command == LARGE


def test_small_records_follow_a_large_one(pair):
    first = pair.propose(LARGE)
    assert pair.propose(SMALL) == []
    pair.exchange(first)
    assert pair.follower.log.last_index == pair.leader.log.last_index


def test_a_part_that_is_on_its_way_is_not_sent_again_with_heartbeats(pair):
    # Regression: a part of a snapshot was sent again with each heartbeat, and each
    # copy was answered with the next part.
    part = pair.propose(LARGE)
    beats = [beat for _ in range(5) for beat in pair.tick()]
    assert data_sizes(beats) == [0] * 5
    sent = pair.answer(part + beats)
    assert data_sizes(sent) == [100]


def test_a_lost_part_is_sent_again_after_the_next_heartbeat(pair):
    pair.propose(LARGE)
    sent = pair.exchange(pair.tick())
    assert data_sizes(sent) == [0, 100, 100, 50]
    assert pair.follower.log.get(pair.leader.log.last_index).command == LARGE


def test_a_follower_that_does_not_answer_is_sent_one_window_of_records(pair):
    # Regression: 32 MB were queued for a slow follower before its link was closed.
    sent = [body for _ in range(200) for body in pair.propose(SMALL)]
    sent += [body for _ in range(5) for body in pair.tick()]
    size = sum(len(e.command) for body in sent for e in body.entries)
    assert size <= TIMING.window_bytes
    pair.exchange(sent)
    assert pair.follower.log.last_index == pair.leader.log.last_index


def test_records_after_a_lost_message_are_sent_again_once(pair):
    # Regression: each message after the lost one was refused, and each refusal
    # was answered with all records from there on.
    pair.propose(SMALL)
    after = [body for _ in range(10) for body in pair.propose(SMALL)]
    sent = pair.answer(after)
    assert sum(len(body.entries) for body in sent if isinstance(body, Append)) == 11


def test_a_follower_behind_a_snapshot_gets_it_in_parts_without_copies(pair):
    for _ in range(3):
        pair.propose(SMALL)
    lost_follower = pair.follower
    pair.follower = replica('b')
    pair.leader.compact(1, LARGE)
    progress = pair.leader.progress_of('b')
    progress.restart(1)
    first = pair.tick()
    assert data_sizes(first) == [100]
    beats = [beat for _ in range(5) for beat in pair.tick()]
    assert data_sizes(beats) == [0] * 5
    assert lost_follower.log.last_index == 2


def test_parts_of_an_earlier_leaders_record_are_not_joined_with_the_next(pair):
    (first,) = pair.propose(LARGE)
    pair.follower.receive('a:1', first, pair.now)
    part = attrs.evolve(first, term=2, entry_term=2, data=LARGE[100:200], offset=100)
    (reply,) = (
        effect.body
        for effect in pair.follower.receive('c:1', part, pair.now)
        if isinstance(effect, Send)
    )
    assert reply.offset == 0


def test_a_follower_that_lost_confirmed_records_is_sent_them_again(pair, caplog):
    # Regression: such a follower refused each append for good and counted as a voter.
    for _ in range(3):
        pair.exchange(pair.propose(SMALL))
    held = pair.leader.log.last_index
    assert pair.leader.progress_of('b').match == held
    pair.follower = replica('b', term=pair.leader.term)
    pair.exchange(pair.tick())
    assert pair.follower.log.last_index == held
    assert pair.leader.progress_of('b').match == held
    assert 'follower_lost_records' in caplog.messages
