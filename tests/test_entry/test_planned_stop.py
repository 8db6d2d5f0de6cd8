from __future__ import annotations

import os
import random

import gevent
import pytest
from opentelemetry.trace import NoOpTracer

from pistachiopath.entry.http import CallerApp
from pistachiopath.entry.planned_stop import stop_entry
from pistachiopath.entry.settings import EntrySettings
from pistachiopath.entry.shell import EntryShell
from pistachiopath.util.listen import make_server
from tests.harness.waiting import wait_until
from tests.test_exchange.sockets import connect_unaccepted
from tools.free_address import free_address

REQUEST = (
    b'POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
    b'Connection: close\r\n\r\n{}'
)
LIMIT_S = 10.0


class Entry:
    """An entry without targets."""

    def __init__(self):
        cfg = EntrySettings(
            name='e',
            zone='a',
            http=free_address(),
            controls=(free_address(),),
            secret='s',
        )
        self.port = int(cfg.http.rpartition(':')[2])
        self.shell = EntryShell(cfg=cfg, rng=random.Random(1), tracer=NoOpTracer())
        app = CallerApp(cfg=cfg, shell=self.shell).app
        self.server = make_server(cfg.http, app, waits_at_stop=True)
        self.shell.start()
        self.server.start()


@pytest.fixture
def entry():
    entry = Entry()
    yield entry
    entry.shell.drain(0.0)
    entry.server.stop(timeout=0)


@pytest.mark.parametrize('number', [1, 200])
def test_connections_that_were_not_accepted_yet_are_refused_with_an_answer(
    entry, number
):
    # Regression: the kernel reset them when the listening socket was closed.
    callers = [connect_unaccepted(entry.port, REQUEST) for _ in range(number)]
    stop_entry(server=entry.server, shell=entry.shell, drain_s=LIMIT_S)
    responses = [os.read(caller.fileno(), 65536) for caller in callers]
    assert all(r.startswith(b'HTTP/1.1 503') for r in responses)
    assert all(b'stopping' in r for r in responses)


def test_callers_that_connect_while_open_calls_are_finished_are_refused(entry):
    # Regression: they were left in the backlog, and reset when the calls had ended.
    entry.shell._calls[0] = object()
    stopping = gevent.spawn(
        stop_entry, server=entry.server, shell=entry.shell, drain_s=LIMIT_S
    )
    wait_until(lambda: entry.shell.draining)
    with pytest.raises(ConnectionRefusedError):
        connect_unaccepted(entry.port, REQUEST)
    entry.shell._calls.clear()
    stopping.join()
