from __future__ import annotations

import os
import time

import pytest

from tools.soak.disturbed_program import Disturbance, disturb


@pytest.fixture
def path(monkeypatch, tmp_path):
    """Return the file that disturbs this process for the time of a test."""
    for module, name in (
        (time, 'time'),
        (os, 'fsync'),
        (os, 'fdatasync'),
        (os, 'write'),
    ):
        monkeypatch.setattr(module, name, getattr(module, name))
    path = tmp_path / 'disturbance'
    disturb(path)
    return path


def test_the_clock_steps_and_comes_back(path):
    before = time.time()
    Disturbance(clock_s=1000.0).save(path)
    assert time.time() > before + 900.0
    Disturbance().save(path)
    assert time.time() < before + 100.0


def test_a_full_storage_writes_a_part_and_fails(path, tmp_path):
    fd = os.open(tmp_path / 'log', os.O_RDWR | os.O_CREAT)
    os.write(fd, b'whole')
    Disturbance(is_full=True).save(path)
    with pytest.raises(OSError, match='full'):
        os.write(fd, b'torn')
    with pytest.raises(OSError, match='full'):
        os.fdatasync(fd)
    assert (tmp_path / 'log').read_bytes() == b'wholeto'
    os.close(fd)


def test_a_slow_storage_syncs_late(path, tmp_path):
    Disturbance(sync_s=0.1).save(path)
    fd = os.open(tmp_path / 'log', os.O_RDWR | os.O_CREAT)
    began_at = time.monotonic()
    os.fsync(fd)
    assert time.monotonic() - began_at >= 0.1
    os.close(fd)
