from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiopath.errors.storage import CorruptFile, StorageFailed
from pistachiopath.messages.replication import Entry, Member
from pistachiopath.replication.effects import (
    AppendEntries,
    SaveSnapshot,
    SaveVote,
    TruncateFrom,
    WriteSnapshotPart,
)
from pistachiopath.storage.data_folder import DataFolder
from tests.harness.disk import Disk

MEMBERS = (Member(member='m', address='a:1'),)


def entry(index, term=1, size=10):
    return Entry(index=index, term=term, kind='command', time_ms=5, command=b'x' * size)


def effects_from(choices):
    """Yield a legal sequence of storage effects."""
    first, last = 1, 0
    for choice, number in choices:
        if choice == 'append':
            new = tuple(entry(last + 1 + n, size=number) for n in range(1 + number % 3))
            last += len(new)
            yield AppendEntries(entries=new)
        elif choice == 'truncate' and last >= first:
            last = first + number % (last - first + 1) - 1
            yield TruncateFrom(index=last + 1)
        elif choice == 'vote':
            yield SaveVote(term=number, voted_for='m')
        elif choice == 'snapshot':
            index = first - 1 + number % (last - first + 2)
            first = index + 1
            yield SaveSnapshot(index=index, term=1, members=MEMBERS, data=b'state')
        elif choice == 'parts':
            index = first - 1 + number % (last - first + 2)
            first = index + 1
            yield from parts_of(index, b'state in parts', whole=number % 3 > 0)
        elif choice == 'install':
            first = last + 5
            last += 4
            yield SaveSnapshot(index=last, term=2, members=MEMBERS, data=b'far')


def parts_of(index, data, *, whole=True):
    """Yield a snapshot in parts, without the last part unless `whole`.

    If the last part is missing, the folder has to write the whole snapshot.
    """
    for offset in range(0, len(data), 5)[: None if whole else -1]:
        yield WriteSnapshotPart(
            index=index,
            term=1,
            members=MEMBERS,
            offset=offset,
            data=data[offset : offset + 5],
        )
    yield SaveSnapshot(index=index, term=1, members=MEMBERS, data=data)


CHOICES = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'append',
                'append',
                'append',
                'truncate',
                'vote',
                'snapshot',
                'parts',
                'install',
            ]
        ),
        st.integers(0, 20),
    ),
    max_size=20,
)


@settings(max_examples=60)
@given(CHOICES)
def test_folder_loads_the_same_state_as_a_reference_disk(choices):
    with tempfile.TemporaryDirectory() as name:
        folder = DataFolder(path=Path(name))
        reference = Disk(member=folder.load().member)
        for effect in effects_from(choices):
            folder.write(effect)
            reference.write(effect)
            folder.sync()
            reference.sync()
        folder.close()
        assert DataFolder(path=Path(name)).load() == reference.load()


def write_log(path, number=4):
    """Write a log of `number` records and return its path."""
    folder = DataFolder(path=path)
    folder.load()
    folder.write(AppendEntries(entries=tuple(entry(n + 1) for n in range(number))))
    folder.sync()
    folder.close()
    return path / 'log'


def test_torn_record_at_the_end_is_dropped(tmp_path):
    log = write_log(tmp_path)
    whole = log.read_bytes()
    for size in range(len(whole) * 3 // 4 + 1, len(whole)):
        log.write_bytes(whole[:size])
        folder = DataFolder(path=tmp_path)
        assert [e.index for e in folder.load().entries] == [1, 2, 3]
        folder.write(AppendEntries(entries=(entry(4, term=2),)))
        folder.sync()
        folder.close()
        assert DataFolder(path=tmp_path).load().entries[3].term == 2


def test_corrupt_record_in_the_middle_is_not_dropped_as_torn(tmp_path):
    log = write_log(tmp_path)
    data = bytearray(log.read_bytes())
    data[len(data) // 3] ^= 1
    log.write_bytes(bytes(data))
    with pytest.raises(CorruptFile):
        DataFolder(path=tmp_path).load()


@pytest.mark.parametrize('operation', ['write', 'fdatasync'])
def test_full_disk_raises_storage_failed(tmp_path, monkeypatch, operation):
    write_log(tmp_path)
    folder = DataFolder(path=tmp_path)
    before = folder.load()

    def fail(*args):
        raise OSError(errno.ENOSPC, 'no space')

    monkeypatch.setattr(os, operation, fail)
    with pytest.raises(StorageFailed):
        folder.write(AppendEntries(entries=(entry(5),)))
        folder.sync()
    monkeypatch.undo()
    folder.close()
    after = DataFolder(path=tmp_path).load()
    assert attrs.evolve(after, entries=after.entries[:4]) == before


def test_crash_between_parts_keeps_the_previous_snapshot(tmp_path):
    folder = DataFolder(path=tmp_path)
    folder.load()
    folder.write(AppendEntries(entries=tuple(entry(n) for n in range(1, 10))))
    folder.write(SaveSnapshot(index=3, term=1, members=MEMBERS, data=b'old'))
    for effect in list(parts_of(7, b'new state in parts'))[:-1]:
        folder.write(effect)
    folder.sync()
    folder.close()
    reopened = DataFolder(path=tmp_path)
    persisted = reopened.load()
    assert (persisted.snapshot_index, persisted.snapshot) == (3, b'old')
    assert [e.index for e in persisted.entries] == list(range(4, 10))
    for effect in parts_of(8, b'newer'):
        reopened.write(effect)
    reopened.close()
    persisted = DataFolder(path=tmp_path).load()
    assert (persisted.snapshot_index, persisted.snapshot) == (8, b'newer')
    assert [e.index for e in persisted.entries] == [9]


def test_parts_of_another_snapshot_are_ignored(tmp_path):
    folder = DataFolder(path=tmp_path)
    folder.load()
    folder.write(AppendEntries(entries=tuple(entry(n) for n in range(1, 10))))
    first, *_ = parts_of(5, b'AAAAAAAAAA')
    _, second, _ = parts_of(6, b'BBBBBBBBBB')
    folder.write(first)
    folder.write(second)
    folder.write(SaveSnapshot(index=6, term=1, members=MEMBERS, data=b'BBBBBBBBBB'))
    folder.close()
    persisted = DataFolder(path=tmp_path).load()
    assert (persisted.snapshot_index, persisted.snapshot) == (6, b'BBBBBBBBBB')
