from __future__ import annotations

import os

import gevent
import pytest

from pistachiopath.control import replica_loop
from pistachiopath.control.replica_loop import ReplicaLoop
from pistachiopath.effects import Send
from pistachiopath.errors.storage import StorageFailed
from pistachiopath.messages.document import PutReply, ReadDocument
from pistachiopath.replication.effects import SaveVote
from pistachiopath.replication.role import Role
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.waiting import let_pass, wait_until


class FakeFolder:
    """Data folder that raises `StorageFailed` while its disk is full."""

    def __init__(self, disk):
        self._disk = disk
        self.closed = False

    def write(self, effect):
        if self._disk['full']:
            raise StorageFailed(operation='SaveVote', reason='28')
        self._disk['written'] += 1

    def sync(self):
        return True

    def close(self):
        self.closed = True


class FakeCore:
    """Core that saves a vote in each tick."""

    class group:  # noqa: N801
        class replica:  # noqa: N801
            role = Role.FOLLOWER
            term = 1
            commit = 0
            members = ()

    def tick(self, now, time_ms):
        return [SaveVote(term=1, voted_for='a')]

    def receive(self, sender, call, body, now, time_ms):
        return []

    def flush(self, now):
        return []

    def synced(self, now):
        return []


def test_loop_reopens_the_folder_until_a_full_disk_is_freed(monkeypatch):
    # Regression: the process exited when its disk was full, four times in one
    # day of a benchmark.
    monkeypatch.setattr(replica_loop, 'REOPEN_INTERVAL_S', 0.01)
    disk = {'full': True, 'written': 0}
    opened = []

    def reopen():
        opened.append(FakeFolder(disk))
        return FakeCore(), opened[-1]

    first = FakeFolder(disk)
    loop = ReplicaLoop(
        core=FakeCore(),
        folder=first,
        network=None,
        failures=LoopFailures(metrics=Metrics()),
        reopen=reopen,
    )
    loop.start()
    while len(opened) < 3:
        gevent.sleep(0.01)
    assert first.closed
    assert disk['written'] == 0
    disk['full'] = False
    while not disk['written']:
        gevent.sleep(0.01)
    loop.stop()


def test_messages_that_arrive_while_the_disk_is_full_are_not_kept(monkeypatch):
    # Configurations of some megabytes, sent again each 0.3 s, filled the memory.
    monkeypatch.setattr(replica_loop, 'REOPEN_INTERVAL_S', 0.01)
    tries = []

    def reopen():
        tries.append(len(loop._inbox))
        raise StorageFailed(operation='load', reason='28')

    loop = make_loop(
        FakeCore(), folder=FakeFolder({'full': True, 'written': 0}), reopen=reopen
    )
    while len(tries) < 20:
        loop.post('a', 1, ReadDocument())
        gevent.sleep(0.002)
    loop.stop()
    assert max(tries[-5:]) <= max(tries[:5]) + 5


class ClosedFolder(FakeFolder):
    """Data folder that fails once it is closed, as a closed file does."""

    def write(self, effect):
        if self.closed:
            raise StorageFailed(operation='SaveVote', reason='9')
        super().write(effect)


class FailingCore(FakeCore):
    """Core that raises an unexpected error for each message."""

    def receive(self, sender, call, body, now, time_ms):
        raise RuntimeError('half changed')


class ReplyingCore(FakeCore):
    """Core that sends the call of each message to its sender."""

    def receive(self, sender, call, body, now, time_ms):
        return [Send(to=sender, call=call, body=PutReply(version=1))]


class FailingNetwork:
    """Network that can't send the first message."""

    def __init__(self):
        self.calls = 0
        self.sent = []

    def send(self, to, call, body):
        self.calls += 1
        if self.calls == 1:
            raise OverflowError
        self.sent.append(call)


@pytest.fixture
def exits(monkeypatch):
    statuses = []
    monkeypatch.setattr(os, '_exit', statuses.append)
    return statuses


def make_loop(core, *, network=None, metrics=None, folder=None, reopen=None):
    loop = ReplicaLoop(
        core=core,
        folder=folder or FakeFolder({'full': False, 'written': 0}),
        network=network,
        failures=LoopFailures(metrics=metrics or Metrics()),
        reopen=reopen,
    )
    loop.start()
    return loop


def test_a_replica_that_may_be_half_changed_ends_its_process(exits, caplog):
    # Regression: its loop ended alone; the node took part in nothing any more.
    loop = make_loop(FailingCore())
    loop.post('a', 1, ReadDocument())
    wait_until(lambda: exits)
    assert exits == [1]
    assert 'loop_ended' in [r.getMessage() for r in caplog.records]


def test_a_message_that_cannot_be_sent_keeps_no_later_one_from_being_sent(exits):
    network = FailingNetwork()
    metrics = Metrics()
    loop = make_loop(ReplyingCore(), network=network, metrics=metrics)
    for call in (1, 2):
        loop.post('a', call, ReadDocument())
    wait_until(lambda: network.sent)
    assert network.sent == [2]
    assert 'loop="replica",part="PutReply"} 1' in metrics.render()
    assert exits == []
    loop.stop()


def test_a_planned_stop_writes_nothing_to_the_closed_folder(exits):
    # Regression: a process that stopped as planned could end with status 1.
    loop = make_loop(FakeCore(), folder=ClosedFolder({'full': False, 'written': 0}))
    let_pass(0.05)
    loop.stop()
    let_pass(2 * replica_loop.TICK_INTERVAL_S)
    assert exits == []
