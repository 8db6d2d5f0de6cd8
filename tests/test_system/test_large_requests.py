"""Crowds of large requests at each address of the platform's programs."""

from __future__ import annotations

import pytest

from pistachiopath.transport.frames import HEADER, MAX_FRAME_BYTES
from tools.soak import wire
from tools.soak.documents import CUSTOMER, KEYS
from tools.soak.topology import HOST

from .crowd import chunked, sized
from .crowd_check import MIB, check_crowd
from .platform_programs import PATH, PlatformPrograms

# The largest bodies that the configuration and the control nodes allow.
BODY_BYTES = 4 * MIB
CONTROL_BODY_BYTES = 7 * MIB
ANNOUNCEMENT_BYTES = 256 * 1024
CALLER_LINES = (
    f'Host: {HOST}',
    f'{wire.REQUEST_ID}: crowd',
    f'{wire.AUTHORIZATION}: {wire.KEY_SCHEME}{KEYS[CUSTOMER]}',
)
# An endless head, and many requests whose responses are not read.
ENDLESS_HEAD = (b'GET / HTTP/1.1\r\nA: ', b'a' * 4 * MIB)
UNREAD = 40_000


@pytest.fixture
def programs(tmp_path):
    roles = ('control', 'entry', 'agent')
    with PlatformPrograms(folder=tmp_path, roles=roles) as running:
        yield running


@pytest.mark.parametrize('make', [sized, chunked])
def test_bodies_of_callers(programs, make):
    """Guards against an entry that reads as many bodies as callers send at once."""
    data = make(f'POST {PATH}', BODY_BYTES, *CALLER_LINES)
    process = programs.processes['entry']
    check_crowd(process, programs.callers, data, programs.is_answered)


def test_bodies_of_callers_in_tiny_chunks(programs):
    """Guards against a cost per chunk: a body of 1 MiB has some 200,000 of them."""
    lines = ('Host: ' + HOST, *CALLER_LINES[1:])
    data = chunked(f'POST {PATH}', MIB, *lines, chunk_bytes=5)
    process = programs.processes['entry']
    check_crowd(process, programs.callers, data, programs.is_answered)


def test_bodies_of_callers_one_after_another(programs):
    """Guards against memory that is not returned after each large request."""
    data = sized(f'POST {PATH}', BODY_BYTES, *CALLER_LINES)
    process = programs.processes['entry']
    check_crowd(
        process, programs.callers, data, programs.is_answered, size=1, rounds=12
    )


def test_endless_heads_of_callers(programs):
    """Guards against heads that are held beyond the limit on their size."""
    process = programs.processes['entry']
    check_crowd(process, programs.callers, ENDLESS_HEAD, programs.is_answered)


@pytest.mark.parametrize('make', [sized, chunked])
def test_bodies_at_the_readiness_address(programs, make):
    """Guards against bodies that are read where no request needs one."""
    data = make('GET /', BODY_BYTES, 'Host: a')
    process = programs.processes['entry']
    check_crowd(process, programs.readiness, data, programs.is_ready)


@pytest.mark.parametrize('role', ['control', 'entry', 'agent'])
def test_bodies_at_the_metrics_address(programs, role):
    """Guards against bodies that are read where no request needs one."""
    data = sized('GET /metrics', BODY_BYTES, 'Host: a')
    process = programs.processes[role]
    address = programs.metrics[role]
    check_crowd(process, address, data, lambda: programs.has_metrics(role))


def test_metrics_that_are_not_read(programs):
    """Guards against responses that pile up for a client that reads none."""
    data = (b'', b'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n' * UNREAD)
    process = programs.processes['entry']
    address = programs.metrics['entry']
    check_crowd(process, address, data, lambda: programs.has_metrics('entry'))


@pytest.mark.parametrize('make', [sized, chunked])
def test_configurations(programs, make):
    """Guards against a control node that reads as many bodies as are sent at once."""
    data = make(f'PUT {wire.CONFIGURATION_PATH}', CONTROL_BODY_BYTES, 'Host: a')
    process = programs.processes['control']
    check_crowd(process, programs.control, data, programs.put_configuration)


def test_requests_for_the_configuration_with_bodies(programs):
    """Guards against bodies that are read though a GET needs none."""
    data = sized(f'GET {wire.CONFIGURATION_PATH}', CONTROL_BODY_BYTES, 'Host: a')
    process = programs.processes['control']
    check_crowd(process, programs.control, data, programs.put_configuration)


def test_announcements(programs):
    """Guards against announcements that are read far beyond their largest size."""
    path = f'{wire.REPLICAS_PATH}i-crowd'
    data = sized(f'PUT {path}', CONTROL_BODY_BYTES, 'Host: a')
    process = programs.processes['control']
    check_crowd(process, programs.control, data, programs.announce)


@pytest.mark.parametrize('role', ['control', 'entry', 'agent'])
def test_frames_before_the_handshake(programs, role):
    """Guards against large frames that a peer sends before it has proved itself."""
    size = MAX_FRAME_BYTES
    data = (HEADER.pack(size, 0), bytes(size))
    process = programs.processes[role]
    address = programs.nodes[role]
    check_crowd(process, address, data, lambda: programs.has_metrics(role))


def test_the_largest_requests_are_served_in_calm(programs):
    """Guards against bounds that refuse what the limits allow."""
    assert programs.answer_size(b'a' * BODY_BYTES) == BODY_BYTES
    assert programs.put_configuration(padded_to=CONTROL_BODY_BYTES)
    assert programs.announce(padded_to=ANNOUNCEMENT_BYTES)
