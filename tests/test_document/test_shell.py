from __future__ import annotations

import random
import time

import gevent
import pytest

from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.document.packing import unpack
from pistachiopath.document.settings import DocumentSettings
from pistachiopath.document.shell import TICK_INTERVAL_S, DocumentShell
from pistachiopath.messages.allowance import AllowanceLeases, UseReport
from pistachiopath.messages.directory import News
from pistachiopath.storage.data_folder import DataFolder
from pistachiopath.storage.memory_folder import MemoryFolder
from pistachiopath.storage.record_file import RecordFile
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.documents import document
from tests.harness.failing import FailingMethod
from tests.harness.recording_peer import RecordingPeer
from tests.harness.waiting import let_pass, wait_until
from tests.test_directory.records import record
from tools.free_address import free_address

SECRET = b's'
UNREADABLE = b'unreadable'
# Methods that the timers of a control node call.
TIMED_METHODS = {
    'peers': lambda shell: (shell._peers, 'tick'),
    'calls': lambda shell: (shell.requests._client, 'due'),
    'publish': lambda shell: (shell.announcer, 'publish'),
    'prune': lambda shell: (shell.announcer.directory, 'prune'),
    'entries': lambda shell: (shell._lender, 'set_known_entries'),
    'leases': lambda shell: (shell._lending, 'send_leases'),
    'reports': lambda shell: (shell._lending, 'report'),
    'marks': lambda shell: (shell._lending, 'resend_marks'),
    'replicas': lambda shell: (shell._replicas._file, 'save'),
    'rollouts': lambda shell: (shell._rollouts, 'tick'),
}


class ControlNode:
    """The only node of a document's group, over real sockets and a folder."""

    def __init__(self, folder):
        self.address = free_address()
        self.metrics = Metrics()
        self.shell = DocumentShell(
            cfg=DocumentSettings(
                node_address=self.address,
                seeds=(self.address,),
                forms=True,
                tolerated_losses=0,
                silent_after_s=5.0,
            ),
            open_folder=lambda: DataFolder(path=folder / 'data'),
            replicas=RecordFile(path=folder / 'replicas'),
            customers=self._customers,
            rng=random.Random(1),
            secret=SECRET,
            failures=LoopFailures(metrics=self.metrics),
        )
        self.shell.start()

    @staticmethod
    def _customers(content):
        if content == UNREADABLE:
            raise OverflowError
        return ()

    def failures(self, part):
        return f'loop="control_timers",part="{part}"' in self.metrics.render()


class Follower:
    """An entry that follows a control node and reports to it as its lender."""

    def __init__(self, control):
        self.peer = RecordingPeer(secret=SECRET, on_message=self._on_message)
        self.subscriber = Subscriber(is_entry=True, own_address=self.peer.address)
        self.subscriber.set_seeds((control,), time.monotonic())
        self._control = control
        self._follower = gevent.spawn(self._follow)

    @property
    def leases(self):
        return self.peer.number(AllowanceLeases)

    def _follow(self):
        while True:
            self.peer.network.send(self._control, 0, UseReport(session=1, uses=()))
            self.peer.send_all(self.subscriber.tick(time.monotonic()))
            gevent.sleep(0.02)

    def _on_message(self, sender, _call, body):
        if isinstance(body, News):
            now = time.monotonic()
            self.peer.send_all(self.subscriber.on_news(sender, body, now))

    def stop(self):
        self._follower.kill()
        self.peer.stop()


@pytest.fixture
def control(tmp_path):
    node = ControlNode(tmp_path)
    wait_until(lambda: node.shell.requests.put(1, b'first', 1.0) == 1)
    yield node
    node.shell.stop()


@pytest.fixture
def follower(control):
    follower = Follower(control.address)
    wait_until(lambda: follower.subscriber.version == 1)
    yield follower
    follower.stop()


@pytest.mark.parametrize('part', sorted(TIMED_METHODS))
def test_a_control_node_publishes_and_lends_after_a_timer_has_failed(
    control, follower, part
):
    # Regression: one exception ended the timers, and the node still answered.
    failing = FailingMethod(*TIMED_METHODS[part](control.shell))
    control.shell.announce(record(replica='r1'))
    if part != 'publish':
        wait_until(lambda: failing.failed)
    assert control.shell.requests.put(2, b'second', 2.0) == 2
    wait_until(lambda: follower.subscriber.content == b'second')
    leases = follower.leases
    wait_until(lambda: follower.leases > leases)
    control.shell.announce(record(replica='r2'))
    wait_until(lambda: follower.subscriber.directory.get('r2') is not None)
    assert failing.failed == 1
    assert control.failures(part)


def test_a_large_document_is_stored_and_sent_packed_and_read_as_it_was(
    control, follower
):
    content = document(1000)
    assert control.shell.requests.put(2, content, 2.0) == 2
    wait_until(lambda: follower.subscriber.version == 2)
    assert len(follower.subscriber.content) < len(content) / 10
    assert len(control.shell.core.content) < len(content) / 10
    assert unpack(follower.subscriber.content) == content
    assert control.shell.requests.read(2.0).content == content


def test_an_announcement_that_cannot_be_stored_stops_no_timer(control):
    # Regression: its sequence number did not fit into a message.
    control.shell.announce(record(sequence=2**70))
    let_pass(4 * TICK_INTERVAL_S)
    assert control.shell.requests.put(2, b'second', 2.0) == 2
    wait_until(lambda: control.shell.announcer.version == 2)


def test_a_document_without_readable_accounts_is_published(control, follower):
    assert control.shell.requests.put(2, UNREADABLE, 2.0) == 2
    wait_until(lambda: follower.subscriber.version == 2)
    assert control.failures('customers')
    leases = follower.leases
    wait_until(lambda: follower.leases > leases)


def test_a_folder_that_is_opened_again_blank_forms_no_second_group(control):
    # Regression: it was the process of the first start, so it formed a group again.
    control.shell._open_folder = MemoryFolder
    core, _ = control.shell._reopen()
    core.tick(time.monotonic() + 10.0, 0)
    assert core.group.is_blank


def test_entries_are_told_of_members_that_the_control_node_does_not_hear(
    control, follower, monkeypatch
):
    monkeypatch.setattr(control.shell.core.group, 'others', lambda: ('127.0.0.9:1',))
    wait_until(lambda: '127.0.0.9:1' in follower.subscriber.controls())
