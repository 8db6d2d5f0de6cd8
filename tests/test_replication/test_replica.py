from __future__ import annotations

import random

from pistachiopath.effects import Send
from pistachiopath.messages.replication import (
    Append,
    Entry,
    InstallSnapshot,
    Member,
)
from pistachiopath.replication.persisted import Persisted
from pistachiopath.replication.replica import Replica

MEMBERS = tuple(Member(member=name, address=f'{name}:1') for name in 'abc')


def follower():
    return Replica(
        address='b:1',
        persisted=Persisted(member='b', term=3),
        rng=random.Random(1),
        now=0.0,
    )


def snapshot(**changes):
    details = {
        'to_member': 'b',
        'term': 3,
        'round': 1,
        'index': 10,
        'index_term': 3,
        'members': MEMBERS,
        'offset': 0,
        'total': 4,
        'data': b'data',
    }
    return InstallSnapshot(**details | changes)


def append(commit, previous, number):
    entries = tuple(
        Entry(index=previous + n + 1, term=3, kind='noop', time_ms=0)
        for n in range(number)
    )
    return Append(
        to_member='b',
        term=3,
        round=2,
        previous_index=previous,
        previous_term=3,
        commit=commit,
        entries=entries,
    )


def test_a_snapshot_alone_does_not_make_a_replica_caught_up():
    # Failing first: the leader's commit index was taken for zero until an
    # append named it, so a restarted replica answered from the snapshot.
    replica = follower()
    replica.receive('a:1', snapshot(), 0.0)
    assert replica.commit == 10
    assert not replica.is_caught_up
    replica.receive('a:1', append(commit=12, previous=10, number=1), 0.1)
    assert not replica.is_caught_up
    replica.receive('a:1', append(commit=12, previous=11, number=1), 0.2)
    assert replica.is_caught_up


def test_parts_of_a_snapshot_in_any_order_give_the_whole():
    replica = follower()
    for offset in (2, 0, 0, 2):
        part = snapshot(offset=offset, data=b'data'[offset : offset + 2])
        effects = replica.receive('a:1', part, 0.0)
    assert replica.snapshot == b'data'
    replies = [e.body for e in effects if isinstance(e, Send)]
    assert replies[0].offset == 4


def test_a_message_for_another_folder_is_ignored():
    replica = follower()
    assert replica.receive('a:1', snapshot(to_member='lost'), 0.0) == []
    assert replica.commit == 0
