"""Crowds of large requests at each address of the classic programs."""

from __future__ import annotations

import pytest

from pistachiopath.transport.frames import HEADER, MAX_FRAME_BYTES
from tools.free_address import free_address

from .callers import KEY
from .crowd import chunked, sized
from .crowd_check import MIB, check_crowd

BODY_BYTES = 4 * MIB
COMPLETION = 'POST /v1/completions'
LINES = ('Host: a', f'Authorization: Bearer {KEY}', 'Content-Type: application/json')


@pytest.fixture
def small(cluster, examples):
    """One control node, an engine with its agent, and an entry."""
    cluster.controls = cluster.controls[:1]
    cluster.start_controls()
    cluster.start_engine('fast')
    cluster.start_agent('fast', models=['proofreader'], metrics=free_address())
    cluster.start_entry('entry-a')
    assert cluster.accept(examples / 'prairie.toml').returncode == 0
    cluster.wait_ready()
    return cluster


def has_models(cluster):
    """Whether the entry answers an ordinary request."""
    url = f'http://{cluster.entries["entry-a"]}/v1/models'
    headers = {'Authorization': f'Bearer {KEY}'}
    return cluster.http.request('GET', url, headers=headers).status == 200


@pytest.mark.parametrize('make', [sized, chunked])
def test_bodies_of_callers(small, make):
    """Guards against an entry that reads as many bodies as callers send at once."""
    data = make(COMPLETION, BODY_BYTES, *LINES)
    process = small.processes['entry-a']
    address = small.entries['entry-a']
    check_crowd(process, address, data, lambda: has_models(small))


def test_bodies_of_requests_that_need_none(small):
    """Guards against bodies that are read where no request needs one."""
    data = sized('GET /v1/models', BODY_BYTES, *LINES)
    process = small.processes['entry-a']
    address = small.entries['entry-a']
    check_crowd(process, address, data, lambda: has_models(small))


def test_endless_heads_of_callers(small):
    """Guards against heads that are held beyond the limit on their size."""
    data = (b'GET / HTTP/1.1\r\n', b'A: ' + b'a' * 4 * MIB)
    process = small.processes['entry-a']
    address = small.entries['entry-a']
    check_crowd(process, address, data, lambda: has_models(small))


def test_bodies_at_the_metrics_address_of_an_agent(small):
    """Guards against bodies that are read where no request needs one."""
    address = small.agents['fast']['metrics']
    data = sized('GET /metrics', BODY_BYTES, *LINES)

    def has_metrics():
        return small.http.request('GET', f'http://{address}/metrics').status == 200

    check_crowd(small.processes['agent-fast'], address, data, has_metrics)


@pytest.mark.parametrize('name', ['control-0', 'agent-fast'])
def test_frames_before_the_handshake(small, name):
    """Guards against large frames that a peer sends before it has proved itself."""
    addresses = {
        'control-0': small.controls[0],
        'agent-fast': small.agents['fast']['address'],
    }
    data = (HEADER.pack(MAX_FRAME_BYTES, 0), bytes(MAX_FRAME_BYTES))
    process = small.processes[name]
    check_crowd(process, addresses[name], data, lambda: has_models(small))
