from __future__ import annotations

import errno
import os

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.platform import control_program
from pistachiopath.platform.control_program import ControlProgram
from pistachiopath.platform.settings import PlatformSettings
from pistachiopath.telemetry.metrics import Metrics
from tools.free_address import free_address


@pytest.fixture
def read_only(monkeypatch):
    """Make every attempt to store something durably fail, as without a disk."""

    def refuse(*_):
        raise OSError(errno.EROFS, 'read-only')

    for name in ('fsync', 'fdatasync', 'mkdir'):
        monkeypatch.setattr(os, name, refuse)


def test_a_control_node_without_a_data_folder_needs_no_disk(read_only):
    # Regression: it used a temporary folder, which does not sync, and ended at once.
    cfg = PlatformSettings(
        name='n',
        role='control',
        zone='a',
        ip='127.0.0.1',
        ports=(7600, 7615),
        control=free_address(),
    )
    program = ControlProgram(cfg, Metrics())
    core = program._shell.core
    assert core.version == 0
    assert not core.group.replica.members


def test_a_call_whose_body_is_incomplete_is_answered_before_a_stop_ends(monkeypatch):
    # Regression: the connection ended without an answer.
    monkeypatch.setattr(control_program, 'DRAIN_TIMEOUT_S', 0.05)
    control = free_address()
    cfg = PlatformSettings(
        name='n',
        role='control',
        zone='a',
        ip='127.0.0.1',
        ports=(7600, 7615),
        control=control,
    )
    program = ControlProgram(cfg, Metrics())
    program._server.start()
    host, _, port = control.rpartition(':')
    sock = gsocket.create_connection((host, int(port)))
    sock.sendall(b'PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{')
    gevent.sleep(0.05)
    program.stop()
    assert sock.recv(65536).startswith(b'HTTP/1.1 503')
