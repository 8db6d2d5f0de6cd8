"""Answers whose connection fails while the request is still being written."""

from __future__ import annotations

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.agent.engine_answer import EngineRequests
from pistachiopath.errors.exchange import BrokenOff
from pistachiopath.exchange.target_connection import TargetConnection

from .sockets import LOOPBACK, close_socket, read_request

ID = b'x-id'
LARGE = 4 * 1024 * 1024
# This much is written to the socket's buffers at once, so that the writer ends early.
SHORT = 32 * 1024
READ_BYTES = 1000
HEADS = {
    'neither': b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n',
    'length': b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 60\r\n\r\n',
    'chunks': b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n',
    'stream': b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\n\r\n',
}
PARTS = {'chunks': b'6\r\nanswer\r\n', 'stream': b'id: 1\n\n'}


class CuttingTarget:
    """Reads a part of an upload, answers, and ends the connection.

    Its answer is sent in `parts`, each after a pause in seconds.
    """

    def __init__(self, *parts, end):
        self._listener = gsocket.socket()
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(1)
        self.address = f'{LOOPBACK}:{self._listener.getsockname()[1]}'
        self._parts = parts
        self._end = end
        gevent.spawn(self._serve)

    def _serve(self):
        sock, _ = self._listener.accept()
        self._listener.close()
        sock.recv(READ_BYTES)
        for pause_s, part in self._parts:
            gevent.sleep(pause_s)
            sock.sendall(part)
        self._end(sock)


def reset(sock):
    close_socket(sock, reset=True)


def close_unread(sock):
    """Close the socket: the kernel resets it, as it holds bytes that nobody read."""
    sock.close()


def end_orderly(sock):
    """Close the sending side, then read the upload to its end."""
    sock.shutdown(gsocket.SHUT_WR)
    while sock.recv(65536):
        pass
    sock.close()


def read_answer(address, body, *, waits_s=(0.0, 0.0)):
    """Send a request and read its answer, after pauses before and after the head."""
    conn = TargetConnection(address=address, request_id_header=ID)
    conn.connect(1.0)
    try:
        conn.send(b'POST', b'/', [(b'host', b'h'), (ID, b'1')], body)
        gevent.sleep(waits_s[0])
        with gevent.Timeout(5.0):
            head = conn.read_head()
            gevent.sleep(waits_s[1])
            parts = []
            while part := conn.read_part():
                parts.append(part)
        return head.status, b''.join(parts)
    finally:
        conn.close()


@pytest.mark.parametrize('end', [reset, close_unread])
@pytest.mark.parametrize('size', [SHORT, LARGE], ids=['written', 'blocked'])
@pytest.mark.parametrize('framing', HEADS)
@pytest.mark.parametrize(
    'pauses',
    [(0.0, 0.0, 0.0), (0.0, 0.05, 0.0), (0.0, 0.0, 0.05), (0.05, 0.05, 0.05)],
    ids=['at once', 'after the head', 'after the part', 'each after the other'],
)
@pytest.mark.parametrize(
    'waits_s', [(0.0, 0.0), (0.1, 0.0), (0.0, 0.1)], ids=['now', 'late', 'between']
)
def test_an_answer_cut_by_a_reset_is_broken_off(end, size, framing, pauses, waits_s):
    # Guards against six bytes that are taken for a whole answer, because the greenlet
    # that writes was told of the reset and the one that reads saw a normal end.
    part = PARTS.get(framing, b'answer')

    def end_late(sock):
        gevent.sleep(pauses[2])
        end(sock)

    target = CuttingTarget((pauses[0], HEADS[framing]), (pauses[1], part), end=end_late)
    with pytest.raises(BrokenOff):
        read_answer(target.address, b'a' * size, waits_s=waits_s)


@pytest.mark.parametrize('waits_s', [(0.0, 0.0), (0.1, 0.0), (0.0, 0.1)])
def test_an_early_answer_with_a_length_is_heard_in_full(waits_s):
    # Guards against a fix that drops the refusal of an upload together with the upload.
    answer = b'HTTP/1.1 413 Too Large\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\nanswer'
    target = CuttingTarget((0.0, answer), end=end_orderly)
    assert read_answer(target.address, b'a' * LARGE, waits_s=waits_s) == (
        413,
        b'answer',
    )


@pytest.mark.parametrize('framing', ['neither', 'stream'])
def test_an_early_answer_that_ends_orderly_is_heard_in_full(framing):
    # Guards against a fix that takes every early end for a reset.
    part = PARTS.get(framing, b'answer')
    target = CuttingTarget((0.0, HEADS[framing] + part), end=end_orderly)
    assert read_answer(target.address, b'a' * LARGE) == (200, part)


@pytest.mark.parametrize('pause_s', [0.0, 0.05])
def test_an_answer_of_an_engine_cut_by_a_reset_is_broken_off(pause_s):
    # Guards against the same fault on the path through the agent.
    def end(sock):
        gevent.sleep(pause_s)
        reset(sock)

    target = CuttingTarget((0.0, HEADS['neither']), (pause_s, b'answer'), end=end)
    requests = EngineRequests(address=target.address)
    with pytest.raises(BrokenOff), gevent.Timeout(5.0):
        answer = requests.send('POST', '/', [], b'a' * LARGE)
        list(answer.parts())


def test_a_target_that_reads_the_whole_upload_is_answered():
    # Guards against a writer that leaves out a piece of a request.
    listener = gsocket.socket()
    listener.bind((LOOPBACK, 0))
    listener.listen(1)
    seen = []

    def serve():
        sock, _ = listener.accept()
        seen.append(read_request(sock)[1])
        sock.sendall(HEADS['length'] + b'a' * 60)

    gevent.spawn(serve)
    address = f'{LOOPBACK}:{listener.getsockname()[1]}'
    assert read_answer(address, b'a' * LARGE) == (200, b'a' * 60)
    assert seen == [b'a' * LARGE]
