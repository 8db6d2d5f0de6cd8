from __future__ import annotations

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
