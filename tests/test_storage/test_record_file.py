from __future__ import annotations

import tempfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.storage.record_file import RecordFile
from pistachiopath.transport.frames import pack
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


ODD = [
    record(replica='odd', sequence=2**70),
    record(replica='odd', slots=2**63),
    record(replica='odd', zone='\ud800'),
]


@pytest.mark.parametrize('odd', ODD, ids=repr)
def test_a_record_that_cannot_be_stored_does_not_lose_the_others(tmp_path, odd, caplog):
    file = RecordFile(path=tmp_path / 'replicas')
    file.save([record(), odd, record(replica='r2')])
    assert file.load() == [record(), record(replica='r2')]
    assert [r.msg for r in caplog.records] == ['records_left_out']


def test_a_record_that_is_not_decoded_does_not_lose_the_others(tmp_path, caplog):
    path = tmp_path / 'replicas'
    file = RecordFile(path=path)
    file.save([record(), record(replica='r2')])
    path.write_bytes(pack(b'no message') + path.read_bytes() + pack(b''))
    assert file.load() == [record(), record(replica='r2')]
    assert caplog.records[0].number == 2


@given(st.binary(max_size=200))
def test_a_file_with_any_content_gives_records_or_none(data):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'replicas'
        path.write_bytes(data)
        assert isinstance(RecordFile(path=path).load(), list)
