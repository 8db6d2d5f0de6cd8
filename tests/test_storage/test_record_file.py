from __future__ import annotations

import os
from pathlib import Path

from pistachiopath.storage.record_file import RecordFile
from tests.test_directory.records import record


def test_records_come_back_and_a_spoilt_file_is_an_empty_one(tmp_path):
    file = RecordFile(path=tmp_path / 'replicas')
    assert file.load() == []
    file.save([record(), record(replica='r2')])
    assert file.load() == [record(), record(replica='r2')]
    path = tmp_path / 'replicas'
    path.write_bytes(path.read_bytes()[:-3])
    assert file.load() == []
    file.save([record()])
    assert file.load() == [record()]


def test_what_was_saved_outlives_a_loss_of_power(tmp_path, monkeypatch):
    steps = []
    real_replace = Path.replace

    def note_sync(fd):
        name = Path(os.readlink(f'/proc/self/fd/{fd}')).name
        steps.append(('sync', name, os.fstat(fd).st_size))

    def note_replace(path, target):
        steps.append(('replace', path.name, path.stat().st_size))
        return real_replace(path, target)

    monkeypatch.setattr(os, 'fsync', note_sync)
    monkeypatch.setattr(Path, 'replace', note_replace)
    file = RecordFile(path=tmp_path / 'replicas')
    file.save([record(), record(replica='r2')])
    size = (tmp_path / 'replicas').stat().st_size
    assert size > 0
    assert steps[:2] == [
        ('sync', 'replicas.new', size),
        ('replace', 'replicas.new', size),
    ]
    assert [step[:2] for step in steps[2:]] == [('sync', tmp_path.name)]
