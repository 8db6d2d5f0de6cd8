from __future__ import annotations

import errno
import os
import tempfile
from pathlib import Path

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiopath.errors.storage import (
    CorruptFile,
    LogGap,
    RecordOutOfPlace,
    StorageFailed,
)
from pistachiopath.replication.effects import (
    AppendEntries,
    SaveSnapshot,
)
from pistachiopath.storage.data_folder import DataFolder
from pistachiopath.transport.codec import encode_message
from pistachiopath.transport.frames import pack
from tests.harness.disk import Disk

from .effect_source import KINDS, MEMBERS, EffectSource, entry, parts_of

CHOICES = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 20)), max_size=20)


@settings(max_examples=60)
@given(CHOICES)
def test_folder_loads_the_same_state_as_a_reference_disk(choices):
    with tempfile.TemporaryDirectory() as name:
        folder = DataFolder(path=Path(name))
        reference = Disk(member=folder.load().member)
        source = EffectSource()
        for effect in (e for choice in choices for e in source.effects(*choice)):
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


def folder_with(path, snapshot, stored):
    """Return a folder whose log file holds records as (index, term), in this order."""
    folder = DataFolder(path=path)
    folder.load()
    index, term = snapshot
    if index:
        folder.write(SaveSnapshot(index=index, term=term, members=MEMBERS, data=b's'))
    folder.close()
    frames = [pack(encode_message(entry(*record))) for record in stored]
    (path / 'log').write_bytes(b''.join(frames))
    return DataFolder(path=path)


# Log files that earlier builds or a crash left: snapshot, records, what is usable.
REPAIRED = {
    'stale records before new ones': (
        (8, 2),
        [(9, 1), (10, 1), (9, 2), (10, 2), (11, 3)],
        [(9, 2), (10, 2), (11, 3)],
    ),
    'stale records alone': ((8, 2), [(9, 1), (10, 1)], []),
    'a log that the snapshot contradicts': (
        (8, 2),
        [(7, 1), (8, 1), (9, 1), (10, 4)],
        [],
    ),
    'a log that the snapshot covers': ((8, 2), [(7, 1), (8, 2), (9, 2)], [(9, 2)]),
    'an older log, and what was appended to it': (
        (8, 2),
        [(3, 1), (4, 1), (9, 2), (10, 2)],
        [(9, 2), (10, 2)],
    ),
    'old records behind newer ones': (
        (0, 0),
        [(1, 1), (2, 3), (3, 1)],
        [(1, 1), (2, 3)],
    ),
    'a record written twice': ((0, 0), [(1, 1), (2, 1), (2, 2)], [(1, 1), (2, 2)]),
}


@pytest.mark.parametrize('case', REPAIRED.values(), ids=REPAIRED)
def test_records_of_a_replaced_log_are_removed_at_the_start(tmp_path, case):
    # Regression: a record's place in the file was taken for its index.
    snapshot, stored, usable = case
    folder = folder_with(tmp_path, snapshot, stored)
    assert [(e.index, e.term) for e in folder.load().entries] == usable
    following = usable[-1][0] + 1 if usable else snapshot[0] + 1
    folder.write(AppendEntries(entries=(entry(following, 5),)))
    folder.sync()
    folder.close()
    loaded = DataFolder(path=tmp_path).load().entries
    assert [(e.index, e.term) for e in loaded] == [*usable, (following, 5)]


@pytest.mark.parametrize(
    'stored', [[(10, 2)], [(9, 1), (10, 1), (11, 2)], [(9, 2), (11, 2)]]
)
def test_a_log_that_lacks_a_record_is_refused(tmp_path, stored):
    # The missing record may have been acknowledged, so the node must not vote.
    with pytest.raises(LogGap):
        folder_with(tmp_path, (8, 2), stored).load()
    assert len((tmp_path / 'log').read_bytes()) > 0


@pytest.mark.parametrize('hole', [8, 40, 4096])
@pytest.mark.parametrize('behind', [0, 1])
def test_a_write_that_power_took_away_ends_the_log(tmp_path, hole, behind):
    # Regression: zeros where a frame should begin ended the program at each start.
    log = write_log(tmp_path)
    later = pack(encode_message(entry(6))) * behind
    log.write_bytes(log.read_bytes() + bytes(hole) + later)
    folder = DataFolder(path=tmp_path)
    assert [e.index for e in folder.load().entries] == [1, 2, 3, 4]
    folder.close()
    assert [e.index for e in DataFolder(path=tmp_path).load().entries] == [1, 2, 3, 4]


def test_a_record_that_does_not_follow_the_log_is_not_stored(tmp_path):
    folder = DataFolder(path=tmp_path)
    folder.load()
    with pytest.raises(RecordOutOfPlace):
        folder.write(AppendEntries(entries=(entry(2),)))


def test_a_failed_try_leaves_no_files_that_fill_the_disk(tmp_path):
    write_log(tmp_path)
    for name in ('log.new', 'snapshot.new', 'vote.new'):
        (tmp_path / name).write_bytes(bytes(1000))
    DataFolder(path=tmp_path).load()
    assert not list(tmp_path.glob('*.new'))


@pytest.mark.parametrize('number', range(2))
def test_a_snapshot_that_a_full_disk_refuses_leaves_a_folder_to_close(
    tmp_path, monkeypatch, number
):
    # Regression: the log's descriptor was closed before the step that failed, so
    # closing the folder failed as well and ended the process.
    write_log(tmp_path)
    folder = DataFolder(path=tmp_path)
    before = folder.load()
    replaced = []
    replace = os.replace

    def fail(source, target):
        if len(replaced) == number:
            raise OSError(errno.ENOSPC, 'no space')
        replaced.append(target)
        replace(source, target)

    monkeypatch.setattr(os, 'replace', fail)
    with pytest.raises(StorageFailed):
        folder.write(SaveSnapshot(index=2, term=1, members=MEMBERS, data=b'state'))
    monkeypatch.undo()
    folder.close()
    after = DataFolder(path=tmp_path).load()
    expected = before.entries if number == 0 else before.entries[2:]
    assert after.entries == expected


def test_records_that_a_killed_process_did_not_sync_are_synced_before_use(
    tmp_path, monkeypatch
):
    # The next process confirmed records of the last one that only the page cache
    # held, and a loss of power took them after they had been acknowledged.
    write_log(tmp_path)
    synced = []
    fsync, fdatasync = os.fsync, os.fdatasync

    def noted(sync):
        def run(fd):
            synced.append(os.fstat(fd).st_ino)
            sync(fd)

        return run

    monkeypatch.setattr(os, 'fsync', noted(fsync))
    monkeypatch.setattr(os, 'fdatasync', noted(fdatasync))
    folder = DataFolder(path=tmp_path)
    assert folder.load().entries
    folder.close()
    assert (tmp_path / 'log').stat().st_ino in synced
