"""Connections of a control node to the processes that began streams."""

from __future__ import annotations

import time

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.document.noted_streams import NotedStreams
from pistachiopath.document.process_witnesses import (
    ALIVE_LAG_S,
    MAX_WITNESSES_PER_ADDRESS,
    WITNESS_RETENTION_S,
    ProcessWitnesses,
)
from pistachiopath.lifetimes.lifetime_doubts import RESTART_MIN_S
from pistachiopath.messages.streams import ProcessNotes, StreamNotes
from pistachiopath.streams.name import stream_digest

# A process that has run for longer than all connections of the test.
LONG_MS = 60_000


class Process:
    """A process that accepts connections; one that `succeeds` it has its address."""

    def __init__(self, succeeds=None):
        port = int(succeeds.address.rpartition(':')[2]) if succeeds else 0
        self._listener = gsocket.socket()
        self._listener.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_REUSEADDR, 1)
        self._listener.bind(('127.0.0.1', port))
        self._listener.listen(8)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self.socks = []
        self._acceptor = gevent.spawn(self._accept)

    def _accept(self):
        while True:
            self.socks.append(self._listener.accept()[0])

    def close_connections(self):
        for sock in self.socks:
            sock.close()

    def end(self):
        self._acceptor.kill()
        self._listener.close()
        self.close_connections()


class Holder:
    """A control node that is asked for connections."""

    def __init__(self):
        self.witnesses = ProcessWitnesses(may_have_come_at=lambda now: now)
        self.replies = []

    def ask(self, process, ran_ms=LONG_MS):
        note = ProcessNotes(
            service='model', replica='r1', address=process.address, ran_ms=ran_ms
        )
        self.witnesses.ask([note], self.replies.extend)
        gevent.sleep(0.1)

    def span(self, witness, after_s=0.0):
        return self.witnesses.span(witness, time.monotonic() + after_s)


@pytest.fixture
def holder():
    found = Holder()
    yield found
    found.witnesses.close()


def test_a_process_is_known_to_run_for_longer_than_its_probes_show(holder):
    began_at = time.monotonic()
    holder.ask(Process())
    (reply,) = holder.replies
    opened_at, alive_until = holder.span(reply.witness, after_s=10.0)
    assert began_at <= opened_at <= time.monotonic()
    assert alive_until <= time.monotonic() + 10.0 - ALIVE_LAG_S
    opened_at, alive_until = holder.span(reply.witness)
    assert alive_until == opened_at


def test_a_process_that_ended_is_known_to_run_on(holder):
    process = Process()
    holder.ask(process)
    process.end()
    gevent.sleep(0.1)
    opened_at, alive_until = holder.span(holder.replies[0].witness, after_s=60.0)
    assert alive_until == opened_at
    assert len(holder.witnesses) == 0


def test_the_next_process_at_an_address_is_taken_for_the_one_before(holder):
    process = Process()
    holder.ask(process)
    process.end()
    gevent.sleep(RESTART_MIN_S + 0.1)
    holder.ask(Process(succeeds=process))
    assert len({reply.witness for reply in holder.replies}) == 2


def test_a_process_that_closes_idle_connections_is_taken_for_ended(holder):
    process = Process()
    holder.ask(process)
    process.close_connections()
    gevent.sleep(0.1)
    assert len(holder.witnesses) == 1
    _, alive_until = holder.span(holder.replies[0].witness, after_s=10.0)
    assert alive_until > time.monotonic()


def test_a_connection_that_is_older_than_the_process_is_named_for_it(holder):
    process = Process()
    holder.ask(process)
    holder.ask(process)
    assert len({reply.witness for reply in holder.replies}) == 1
    holder.ask(process, ran_ms=50)
    assert len({reply.witness for reply in holder.replies}) == 2


def test_a_replica_that_accepts_nothing_keeps_the_control_node_busy(holder):
    process = Process()
    process.end()
    holder.ask(process)
    assert holder.replies == []
    assert len(holder.witnesses) == 0


def test_connections_to_an_address_grow_without_bound(holder):
    process = Process()
    for _ in range(MAX_WITNESSES_PER_ADDRESS + 3):
        holder.ask(process, ran_ms=0)
    assert len(holder.witnesses) == MAX_WITNESSES_PER_ADDRESS


def test_connections_are_kept_for_streams_that_nobody_takes_up(holder):
    holder.ask(Process())
    now = time.monotonic()
    holder.witnesses.keep(holder.replies[0].witness, now + 10.0)
    holder.witnesses.prune(now + WITNESS_RETENTION_S)
    assert len(holder.witnesses) == 1
    holder.witnesses.prune(now + 10.0 + WITNESS_RETENTION_S)
    assert holder.span(holder.replies[0].witness) is None


def test_a_process_hides_the_version_that_was_proven_since():
    noted = NotedStreams(span=lambda witness, now: (now - 5.0, now - 4.0))
    digest = stream_digest('c/a')
    process = ProcessNotes(
        service='model',
        replica='r1',
        address='r1:80',
        ran_ms=100,
        witness=3,
        digests=digest,
    )
    noted.note_processes([process], 1.0)
    (found,) = noted.find(('c/a',), 2.0).origins
    assert (found.address, found.opened_ms, found.is_confirmed) == (
        'r1:80',
        5000,
        False,
    )
    assert 4000 <= found.alive_ms <= 4001
    settled = StreamNotes(service='model', software_version='v2', digests=digest)
    noted.note([settled], 2.0)
    noted.note_processes([process], 3.0)
    (found,) = noted.find(('c/a',), 3.0).origins
    assert (found.software_version, found.is_confirmed) == ('v2', True)
