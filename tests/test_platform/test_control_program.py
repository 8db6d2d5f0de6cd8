from __future__ import annotations

import errno
import os
import time

import attrs
import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.platform import control_program as control_module
from pistachiopath.platform.control_program import HTTP_LIMITS, ControlProgram
from pistachiopath.platform.decoded_accounts import DecodedAccounts
from pistachiopath.platform.settings import PlatformSettings
from pistachiopath.storage.record_file import RecordFile
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.waiting import let_pass, wait_until
from tools.free_address import free_address

from .test_configuration import VALID, encode
from .test_control_api import ODD_FIELDS, announcement


@pytest.fixture
def read_only(monkeypatch):
    """Make every attempt to store something durably fail, as without a disk."""

    def refuse(*_):
        raise OSError(errno.EROFS, 'read-only')

    for name in ('fsync', 'fdatasync', 'mkdir'):
        monkeypatch.setattr(os, name, refuse)


def control_program(**settings):
    fields = {'control': free_address(), 'ports': (7600, 7615)}
    cfg = PlatformSettings(
        name='n', role='control', zone='a', ip='127.0.0.1', **fields | settings
    )
    return ControlProgram(cfg, Metrics())


def test_a_control_node_without_a_data_folder_needs_no_disk(read_only):
    # Regression: it used a temporary folder, which does not sync, and ended at once.
    core = control_program()._shell.core
    assert core.version == 0
    assert not core.group.replica.members


def test_a_committed_document_that_cannot_be_decoded_is_published_all_the_same():
    # Regression: its accounts were decoded in the timer, which ended.
    shell = control_program()._shell
    shell.core.version = 5
    shell.core.content = encode(VALID).replace(b'5000', b'1' * 400)
    shell._publish_committed(1.0)
    assert shell.announcer.version == 5


def test_accounts_are_kept_when_the_next_document_cannot_be_decoded():
    accounts = DecodedAccounts()
    assert accounts.read(b'{') == ()
    known = accounts.read(encode(VALID))
    assert [account.name for account in known] == ['t', 'u']
    assert accounts.read(b'{') == known


def call(address, method, path, content):
    """Return the status of a call, 0 if the connection ended without one."""
    host, port = address.split(':')
    head = f'{method} /pistachiopath{path} HTTP/1.1\r\nHost: h\r\n'
    head += f'Content-Length: {len(content)}\r\n\r\n'
    with gsocket.create_connection((host, int(port)), 5.0) as conn:
        conn.sendall(head.encode() + content)
        line = conn.recv(100).split()
    return int(line[1]) if line else 0


def put_configuration(address, content):
    """Return the status of a PUT; repeat it while the node has no leader."""
    for _ in range(20):
        status = call(address, 'PUT', '/config', content)
        if status != 503:
            return status
        gevent.sleep(0.1)
    return 503


def test_the_largest_configuration_leaves_the_node_able_to_take_the_next(tmp_path):
    # Regression: its record did not fit into a frame, which ended the replica's loop.
    node = free_address()
    port = int(node.split(':')[1])
    address = free_address()
    program = control_program(
        control=address,
        data_folder=str(tmp_path),
        seeds=(node,),
        ports=(port, port + 15),
        is_first_start=True,
        tolerated_losses=0,
    )
    program.start()
    try:
        size = HTTP_LIMITS.max_body_bytes
        largest = encode(VALID).ljust(size)
        assert put_configuration(address, largest) == 200
        assert put_configuration(address, largest + b' ') == 413
        assert put_configuration(address, encode(VALID | {'version': 8})) == 200
        assert program._shell.core.version == 8
    finally:
        program.stop()


def test_a_call_whose_body_is_incomplete_is_answered_before_a_stop_ends(monkeypatch):
    # Regression: the connection ended without an answer.
    monkeypatch.setattr(control_module, 'DRAIN_TIMEOUT_S', 0.05)
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
    let_pass(0.05)
    program.stop()
    assert sock.recv(65536).startswith(b'HTTP/1.1 503')


def test_a_node_saves_and_forwards_the_others_after_odd_announcements(tmp_path):
    # Regression: the timer ended while the node still answered.
    address = free_address()
    node = free_address()
    port = int(node.split(':')[1])
    program = control_program(
        control=address, data_folder=str(tmp_path), ports=(port, port + 15)
    )
    program.start()
    try:
        for number, changes in enumerate(ODD_FIELDS):
            odd = announcement(**changes)
            assert call(address, 'PUT', f'/replicas/odd{number}', odd) == 400
        assert call(address, 'DELETE', '/replicas/odd%00', b'') == 400
        assert call(address, 'PUT', '/replicas/live', announcement()) == 200
        file = RecordFile(path=tmp_path / 'replicas')
        wait_until(file.load)
        (saved,) = file.load()
        assert saved.replica == 'live'
        assert program._shell.announcer.silent(time.monotonic()) == ()
    finally:
        program.stop()


def test_a_program_listens_at_its_own_address_and_states_the_one_it_advertises():
    cfg = PlatformSettings(
        name='n', role='agent', zone='a', ip='10.0.0.1', ports=(7600, 7615)
    )
    assert cfg.node_address(7602) == cfg.listen_address(7602) == '10.0.0.1:7602'
    behind_a_proxy = attrs.evolve(cfg, advertise_ip='10.0.0.9')
    assert behind_a_proxy.node_address(7602) == '10.0.0.9:7602'
    assert behind_a_proxy.listen_address(7602) == '10.0.0.1:7602'
