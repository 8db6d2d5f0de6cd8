from __future__ import annotations

from pistachiopath.storage.record_file import RecordFile
from tests.test_directory.records import record


def test_saved_records_are_loaded_and_a_truncated_file_counts_as_empty(tmp_path):
    file = RecordFile(path=tmp_path / 'replicas')
    assert file.load() == []
    file.save([record(), record(replica='r2')])
    assert file.load() == [record(), record(replica='r2')]
    path = tmp_path / 'replicas'
    path.write_bytes(path.read_bytes()[:-3])
    assert file.load() == []
    file.save([record()])
    assert file.load() == [record()]
