"""Runs that a replica broke off while the entry stood still."""

from __future__ import annotations

import socket
import threading
import time

import gevent
import pytest

from pistachiopath.messages.quarantine import CrashMark, CrashMarks
from tests.test_exchange.sockets import LOOPBACK

from .parts import RESUMABLE, FakeEntry, chunk, events, serve, stream_head

TICK_S = 0.05
FIRST_EVENT_S = 0.1
STANDSTILL_S = 1.3


class CrashingReplica(threading.Thread):
    """Replica in a thread, which crashes soon after it has begun to write.

    It goes on while the event loop stands still.
    """

    def __init__(self, *, crashes_after_s):
        super().__init__(daemon=True)
        self._crashes_after_s = crashes_after_s
        self._listener = socket.create_server((LOOPBACK, 0))
        self.address = f'{LOOPBACK}:{self._listener.getsockname()[1]}'
        self.start()

    def run(self):
        sock, _ = self._listener.accept()
        self._listener.close()
        sock.recv(65536)
        sock.sendall(stream_head() + chunk(events(1, 1)))
        time.sleep(self._crashes_after_s)
        sock.sendall(chunk(events(2, 2)))
        sock.close()


@pytest.fixture
def entry():
    entry = FakeEntry(['r0', 's0'])

    def tick():
        while True:
            entry.crashes.tick(time.monotonic())
            gevent.sleep(TICK_S)

    ticks = gevent.spawn(tick)
    yield entry
    ticks.kill()


def crash_in_a_standstill(entry, prefix):
    """Stand still while a replica crashes 0.3 s after its first event."""
    replica = CrashingReplica(crashes_after_s=0.3)
    gevent.spawn_later(FIRST_EVENT_S, time.sleep, STANDSTILL_S)
    _, work = serve(
        [replica],
        RESUMABLE,
        stream=True,
        attempts=1,
        crashes=entry.crashes,
        prefix=prefix,
        parts=('poison', 'last'),
    )
    return work


def test_a_run_that_crashed_its_replica_in_a_standstill_is_no_proof(entry):
    work = crash_in_a_standstill(entry, 'r')
    assert not work.has_lived
    key = work.shared_parts[0].key
    for number in range(3):
        mark = CrashMark(
            fingerprint=key, lifetime=f'o{number}@1', age_ms=0, ran_ms=1, depth=1
        )
        entry.crashes.handle_marks(CrashMarks(marks=(mark,)), time.monotonic())
        gevent.sleep(0.06)
    assert entry.crashes.is_quarantined(work, time.monotonic())


def test_a_run_of_which_nobody_saw_when_it_broke_blames_nothing(entry):
    for prefix in 'rs':
        work = crash_in_a_standstill(entry, prefix)
        entry.silent.add(f'{prefix}0')
        entry.crashes.tick(time.monotonic())
        entry.silent.clear()
    assert not entry.crashes.is_quarantined(work, time.monotonic())
