from __future__ import annotations

import time

import gevent
import gevent.event
import gevent.socket
import pytest

from pistachiopath.errors.transport import LinkClosed, MalformedFrame
from pistachiopath.messages.document import PutReply, ReadDocument
from pistachiopath.messages.envelope import Envelope
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.codec import encode
from pistachiopath.transport.frames import MAX_FRAME_BYTES, pack
from pistachiopath.transport.link import SILENCE_CHECK_S, SILENCE_S, Link
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.failing import FailingMethod
from tests.harness.waiting import let_pass, wait_until

READ = encode(Envelope(call=1, body=ReadDocument()))
REPLY = encode(Envelope(call=2, body=PutReply(version=3)))


class ScriptedFrames:
    """Frames whose reads and writes give or raise what a test says."""

    def __init__(self, *, reads=(), writes=(), arrived=None):
        self._arrived = arrived
        self._reads = list(reads)
        self._writes = list(writes)
        self.written = []
        self.closed = gevent.event.Event()

    def read(self):
        if self._arrived is not None:
            self._arrived.wait()
        if not self._reads:
            self.closed.wait()
            raise LinkClosed(peer='p')
        return self._next(self._reads)

    def write(self, payloads):
        if self._writes:
            self._next(self._writes)
        for payload in payloads:
            pack(payload)
        self.written += payloads

    def close(self):
        self.closed.set()

    @staticmethod
    def _next(script):
        item = script.pop(0)
        if isinstance(item, BaseException):
            raise item
        return item


class LinkUnderTest:
    """A link on scripted frames and what it has reported."""

    def __init__(self, *, handle=lambda body: None, silence_s=SILENCE_S, **script):
        self.frames = ScriptedFrames(**script)
        self.received = []
        self.closed = 0
        self.metrics = Metrics()
        self._handle = handle
        self.link = Link(
            peer='p',
            role='node',
            frames=self.frames,
            on_envelope=self._on_envelope,
            on_closed=self._on_closed,
            on_received=lambda size: None,
            failures=LoopFailures(metrics=self.metrics),
            silence_s=silence_s,
        )

    def _on_envelope(self, _link, envelope):
        self.received.append(envelope.call)
        self._handle(envelope.body)

    def _on_closed(self, _link):
        self.closed += 1

    def failures(self, **labels):
        text = ','.join(f'{key}="{value}"' for key, value in labels.items())
        return f'loop_failures_total{{{text}}}' in self.metrics.render()


@pytest.mark.parametrize('exc', [RuntimeError(), OSError(), MalformedFrame(reason='')])
def test_a_message_that_cannot_be_handled_ends_neither_reader_nor_link(exc):
    def handle(body):
        if isinstance(body, ReadDocument):
            raise exc

    test = LinkUnderTest(handle=handle, reads=[READ, REPLY])
    reader = gevent.spawn(test.link.read)
    let_pass(0.01)
    assert test.received == [1, 2]
    assert not test.closed
    assert test.failures(loop='message', part='ReadDocument')
    test.link.close()
    reader.get(timeout=5)


def test_a_reader_that_ends_with_an_unexpected_error_closes_its_link():
    test = LinkUnderTest(reads=[RuntimeError()])
    test.link.read()
    assert test.frames.closed.is_set()
    assert test.closed == 1
    assert test.failures(loop='link', part='read')


def test_a_reader_that_is_killed_closes_its_link():
    test = LinkUnderTest()
    reader = gevent.spawn(test.link.read)
    gevent.sleep(0)
    reader.kill()
    assert test.closed == 1


def test_bytes_that_are_no_message_close_the_link_with_a_log_line(caplog):
    test = LinkUnderTest(reads=[b'garbage'])
    test.link.read()
    assert test.closed == 1
    assert [r.getMessage() for r in caplog.records] == ['link_unreadable']


def test_the_end_of_a_connection_closes_the_link_without_a_log_line(caplog):
    for exc in (LinkClosed(peer='p'), ConnectionResetError()):
        test = LinkUnderTest(reads=[exc])
        test.link.read()
        assert test.closed == 1
    assert caplog.records == []


def test_a_writer_that_ends_with_an_unexpected_error_closes_its_link():
    test = LinkUnderTest(writes=[RuntimeError()])
    test.link.send(READ)
    let_pass(0.01)
    assert test.closed == 1
    assert test.failures(loop='link', part='write')


def test_a_message_larger_than_a_frame_does_not_end_the_writer():
    test = LinkUnderTest()
    test.link.send(b'x' * (MAX_FRAME_BYTES + 1))
    test.link.send(REPLY)
    let_pass(0.01)
    assert test.frames.written == [REPLY]
    assert not test.closed
    assert test.failures(loop='link', part='send')


class Arrival:
    """Input that arrives on a socket while the process is paused."""

    def __init__(self):
        self._socket, self._peer = gevent.socket.socketpair()

    def wait(self):
        self._socket.recv(1)

    def set(self):
        self._peer.close()


@pytest.mark.parametrize('pause_s', [0.1, 3 * SILENCE_CHECK_S])
def test_a_link_is_not_closed_because_its_own_process_was_paused(pause_s):
    arrived = Arrival()
    test = LinkUnderTest(silence_s=0.05, arrived=arrived, reads=[REPLY])
    reader = gevent.spawn(test.link.read)
    let_pass(0.01)
    test.link.send(READ)
    time.sleep(pause_s)
    arrived.set()
    test.link.send(READ)
    let_pass(2 * SILENCE_CHECK_S)
    assert test.received == [2]
    assert not test.closed
    test.link.close()
    reader.get(timeout=5)


def test_a_link_is_not_closed_because_of_a_pause_while_its_silence_is_checked():
    # Regression: the end of the check was due together with the input and won.
    arrived = Arrival()
    test = LinkUnderTest(silence_s=0.05, arrived=arrived, reads=[REPLY])
    reader = gevent.spawn(test.link.read)
    let_pass(0.01)
    test.link.send(READ)
    time.sleep(0.1)
    arrived.set()
    test.link.send(READ)
    gevent.spawn(time.sleep, 2 * SILENCE_CHECK_S)
    let_pass(2 * SILENCE_CHECK_S)
    assert test.received == [2]
    assert not test.closed
    test.link.close()
    reader.get(timeout=5)


def test_a_link_whose_peer_is_silent_is_closed():
    test = LinkUnderTest(silence_s=0.05)
    test.link.send(READ)
    let_pass(0.1)
    test.link.send(READ)
    let_pass(2 * SILENCE_CHECK_S)
    assert test.closed == 1


def test_a_link_whose_socket_cannot_be_closed_is_reported_as_closed():
    # Regression: it stayed in use, and dropped all that was sent on it.
    tested = LinkUnderTest()
    failing = FailingMethod(tested.frames, 'close')
    tested.link.close()
    assert failing.failed == 1
    assert tested.closed == 1
    assert tested.failures(loop='link', part='close')


def test_a_silent_link_is_closed_after_a_check_of_its_silence_has_failed():
    tested = LinkUnderTest(silence_s=0.0)
    failing = FailingMethod(tested.link, 'close')

    def is_closed_after_a_send():
        tested.link.send(READ)
        return tested.closed

    wait_until(is_closed_after_a_send)
    assert failing.failed == 1
