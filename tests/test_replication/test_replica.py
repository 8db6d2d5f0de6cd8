from __future__ import annotations

import random

from pistachiopath.effects import Send
from pistachiopath.messages.replication import (
    Append,
    Entry,
    InstallSnapshot,
    Member,
)
from pistachiopath.replication.log import Log
from pistachiopath.replication.persisted import Persisted
from pistachiopath.replication.replica import Replica
from pistachiopath.replication.replicator import MAX_APPEND_BYTES

MEMBERS = tuple(Member(member=name, address=f'{name}:1') for name in 'abc')


def follower():
    return Replica(
        address='b:1',
        persisted=Persisted(member='b', term=3),
        rng=random.Random(1),
        now=0.0,
    )


def snapshot_message(**overrides):
    fields = {
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
    return InstallSnapshot(**fields | overrides)


def append_message(commit, previous, count):
    entries = tuple(
        Entry(index=previous + n + 1, term=3, kind='noop', time_ms=0)
        for n in range(count)
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
    # Regression: the leader's commit index was assumed to be zero until an
    # append contained it, so a restarted replica replied from the snapshot.
    replica = follower()
    replica.receive('a:1', snapshot_message(), 0.0)
    assert replica.commit == 10
    assert not replica.is_caught_up
    replica.receive('a:1', append_message(commit=12, previous=10, count=1), 0.1)
    assert not replica.is_caught_up
    replica.receive('a:1', append_message(commit=12, previous=11, count=1), 0.2)
    assert replica.is_caught_up


def test_large_records_are_sent_in_several_messages():
    # Regression: two configurations put at once made a message larger than a frame.
    large = bytes(3 * 1024 * 1024)
    entries = tuple(
        Entry(index=n, term=1, kind='noop', time_ms=0, command=large)
        for n in range(1, 5)
    )
    log = Log(entries=entries)
    assert log.slice(1, 256, MAX_APPEND_BYTES) == entries[:1]
    assert log.slice(1, 256, 2 * len(large)) == entries[:2]
    assert log.slice(3, 1, 2 * len(large)) == entries[2:3]
    assert log.slice(5, 256, MAX_APPEND_BYTES) == ()


def test_snapshot_parts_may_arrive_out_of_order_and_repeatedly():
    replica = follower()
    for offset in (2, 0, 0, 2):
        part = snapshot_message(offset=offset, data=b'data'[offset : offset + 2])
        effects = replica.receive('a:1', part, 0.0)
    assert replica.snapshot == b'data'
    replies = [e.body for e in effects if isinstance(e, Send)]
    assert replies[0].offset == 4


def test_a_message_for_another_data_folder_is_ignored():
    replica = follower()
    assert replica.receive('a:1', snapshot_message(to_member='lost'), 0.0) == []
    assert replica.commit == 0
