from __future__ import annotations

import time

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.agent.engine_answer import EngineRequests
from pistachiopath.errors.exchange import BrokenOff, ConnectFailed, Garbled
from pistachiopath.exchange import target_connection
from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.exchange.target_connection import TargetConnection

from .sockets import CLOSE, LOOPBACK, RESET, Paused, ScriptedTarget

ID = b'x-id'
LIMIT_S = 8.0


def response(request_id, body=b'yes', extra=b''):
    return b'HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s' % (
        request_id,
        len(body),
        extra,
        body,
    )


def connect(target):
    conn = TargetConnection(address=target.address, request_id_header=ID)
    conn.connect(1.0)
    return conn


def send_request(conn, request_id=b'1', body=b''):
    conn.send(b'POST', b'/p', [(b'host', b'h'), (ID, request_id)], body)


def read_response(conn):
    head = conn.read_head()
    parts = []
    while part := conn.read_part():
        parts.append(part)
    return head, b''.join(parts)


def test_a_kept_connection_serves_several_requests():
    target = ScriptedTarget([response(b'1'), response(b'2', b'second')])
    conn = connect(target)
    send_request(conn)
    head, body = read_response(conn)
    assert (head.status, body) == (200, b'yes')
    assert conn.finish(head, time.monotonic())
    send_request(conn, b'2')
    assert read_response(conn)[1] == b'second'


@pytest.mark.parametrize(
    'address',
    ['', 'nowhere', '10.0.0.9:', '10.0.0.9:x', '10.0.0.9:99999', 'fe80::1%aa:80']
    + ['a' * 100 + ':80', '\ud800:80', '\0:80', '127.0.0.1:' + '9' * 5000],
    ids=lambda a: repr(a[:20]),
)
def test_an_address_that_is_none_is_a_failed_connect(address):
    # Regression: ValueError or OverflowError left the caller without an answer.
    conn = TargetConnection(address=address, request_id_header=ID)
    with pytest.raises(ConnectFailed):
        conn.connect(0.2)


KEEP_ALIVES = [
    ('5', 4.0),
    ('0', 0.3),
    ('\xb2', 2.0),
    ('x', 2.0),
    ('-3', 2.0),
    ('', 2.0),
    ('9' * 400, 3600),
    ('9' * 5000, 3600),
]


@pytest.mark.parametrize(('stated', 'kept_s'), KEEP_ALIVES, ids=lambda v: str(v)[:8])
def test_any_stated_idle_time_leaves_the_response_whole(stated, kept_s):
    # Regression: '\xb2' is a digit for str.isdigit, and int takes 4,300 digits at most.
    extra = b'Keep-Alive: timeout=' + stated.encode('latin-1') + b'\r\n'
    conn = connect(ScriptedTarget([response(b'1', extra=extra)]))
    send_request(conn)
    head, body = read_response(conn)
    assert body == b'yes'
    assert conn.finish(head, 10.0)
    assert conn.idle_until == 10.0 + kept_s


def test_a_late_response_to_another_request_is_discarded():
    target = ScriptedTarget([response(b'0', b'late') + response(b'1')])
    conn = connect(target)
    send_request(conn)
    assert read_response(conn)[1] == b'yes'


def test_a_wait_for_a_response_goes_on_after_it_was_interrupted():
    late = response(b'1', b'late answer')
    pause = Paused(late[:-4], 0.2, late[-4:], 0.2, response(b'2', b'right'))
    conn = connect(ScriptedTarget([response(b'1'), pause]))
    send_request(conn)
    head, _ = read_response(conn)
    assert conn.finish(head, time.monotonic())
    send_request(conn, b'2')
    for _ in range(9):
        with gevent.Timeout(0.1, exception=False):
            conn.read_head()
            break
    assert conn.read_part() == b'right'


def test_bytes_after_a_response_end_the_connection():
    target = ScriptedTarget([response(b'1') + response(b'1', b'again')])
    conn = connect(target)
    send_request(conn)
    head, body = read_response(conn)
    assert body == b'yes'
    assert not conn.finish(head, time.monotonic())


def test_a_response_without_length_ends_with_its_connection():
    target = ScriptedTarget([b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it', CLOSE])
    conn = connect(target)
    send_request(conn)
    assert read_response(conn)[1] == b'all of it'


def test_a_response_without_length_that_is_reset_is_broken_off():
    target = ScriptedTarget([b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart', RESET])
    conn = connect(target)
    send_request(conn)
    with pytest.raises(BrokenOff):
        read_response(conn)


@pytest.mark.parametrize(
    'cut',
    [
        b'',
        b'HTTP/1.1 200 OK\r\nX-I',
        b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhalf',
        b'HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'4\r\nhalf\r\n',
    ],
)
def test_a_truncated_response_is_broken_off(cut):
    target = ScriptedTarget([cut, CLOSE])
    conn = connect(target)
    send_request(conn)
    with pytest.raises(BrokenOff):
        read_response(conn)


def test_bytes_that_are_no_response_are_garbled():
    target = ScriptedTarget([b'\x00\x01 rubbish\r\n\r\n'])
    conn = connect(target)
    send_request(conn)
    with pytest.raises(Garbled):
        read_response(conn)


def test_an_early_response_does_not_truncate_the_request():
    early = ScriptedTarget([response(b'1')])
    conn = connect(early)
    send_request(conn, body=b'x' * 100_000)
    head, body = read_response(conn)
    assert body == b'yes'
    # No other bytes may follow, whether or not the rest has been written.
    conn.finish(head, time.monotonic())
    assert all(len(body) == 100_000 for _, body in early.requests)


def test_the_pool_does_not_use_a_connection_that_the_target_closed():
    target = ScriptedTarget([response(b'1'), CLOSE], [response(b'2')])
    pool = ConnectionPool(request_id_header=ID)
    conn = pool.take(target.address, 1.0)
    send_request(conn)
    head, _ = read_response(conn)
    assert conn.finish(head, time.monotonic())
    pool.give_back(conn)
    conn._sock.recv(1)
    again = pool.take(target.address, 1.0)
    assert again is not conn
    send_request(again, b'2')
    assert read_response(again)[0].status == 200
    assert pool.opened == 2


def test_keep_alive_bounds_the_idle_time():
    target = ScriptedTarget([response(b'1', extra=b'Keep-Alive: timeout=5\r\n')])
    conn = connect(target)
    send_request(conn)
    head, _ = read_response(conn)
    conn.finish(head, 100.0)
    assert conn.idle_until == 104.0
    assert not conn.is_reusable(104.0)


def test_a_refused_connection_is_reported_as_not_sent():
    pool = ConnectionPool(request_id_header=ID)
    with pytest.raises(ConnectFailed) as raised:
        pool.take('127.0.0.1:1', 1.0)
    assert not raised.value.sent


REFUSAL = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'


def test_a_refusal_that_is_repeated_without_an_id_is_not_the_next_answer():
    target = ScriptedTarget([REFUSAL, REFUSAL + response(b'2')])
    conn = connect(target)
    send_request(conn)
    head, _ = read_response(conn)
    assert conn.finish(head, time.monotonic())
    send_request(conn, b'2')
    with pytest.raises(Garbled) as caught:
        conn.read_head()
    assert caught.value.reason == 'no_request_id'


def test_a_request_is_not_sent_again_on_a_connection_that_has_carried_it():
    refusal = b'HTTP/1.1 503 Busy\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n'
    target = ScriptedTarget([refusal, refusal + response(b'1')], [response(b'1')])
    pool = ConnectionPool(request_id_header=ID)
    first = pool.take(target.address, 1.0, b'1')
    send_request(first)
    head, _ = read_response(first)
    assert first.finish(head, time.monotonic())
    pool.give_back(first)
    again = pool.take(target.address, 1.0, b'1')
    assert again is not first
    send_request(again)
    assert read_response(again)[0].status == 200
    assert pool.take(target.address, 1.0, b'2') is first


class LateReader:
    """Target that reads nothing after the first bytes for `pause_s`, then answers.

    `buffer_bytes` bounds what the kernel takes for it meanwhile.
    """

    def __init__(self, *, body_bytes, pause_s, buffer_bytes=None):
        self._listener = gsocket.socket()
        if buffer_bytes:
            self._listener.setsockopt(
                gsocket.SOL_SOCKET, gsocket.SO_RCVBUF, buffer_bytes
            )
        self._listener.bind((LOOPBACK, 0))
        self._listener.listen(1)
        self.address = f'{LOOPBACK}:{self._listener.getsockname()[1]}'
        self._body_bytes = body_bytes
        self._pause_s = pause_s
        gevent.spawn(self._serve)

    def _serve(self):
        sock, _ = self._listener.accept()
        data = sock.recv(1)
        gevent.sleep(self._pause_s)
        while not data.endswith(b'x' * self._body_bytes):
            part = sock.recv(65536)
            if not part:
                return
            data += part
        sock.sendall(response(b'1'))


LONG_BODY_BYTES = 4 * 1024 * 1024


def test_a_target_that_reads_a_long_request_late_is_not_given_up(monkeypatch):
    monkeypatch.setattr(target_connection, 'UNACKNOWLEDGED_TIMEOUT_MS', 300)
    target = LateReader(body_bytes=LONG_BODY_BYTES, pause_s=1.5)
    conn = connect(target)
    send_request(conn, body=b'x' * LONG_BODY_BYTES)
    with gevent.Timeout(LIMIT_S):
        assert read_response(conn)[1] == b'yes'


def answer_after(pause_s):
    """Return the answer of a target that acknowledges nothing for `pause_s`.

    A full receive buffer stands for the lost acknowledgements: both run into the
    same timeout of the kernel.
    """
    target = LateReader(body_bytes=7000, pause_s=pause_s, buffer_bytes=1024)
    conn = connect(target)
    send_request(conn, body=b'x' * 7000)
    try:
        return read_response(conn)[1]
    except BrokenOff:
        return None


def test_a_target_may_acknowledge_nothing_for_some_seconds_but_not_for_long():
    # A VM that stands still for 2.6 s acknowledges the repetition at 3.0 s.
    with gevent.Timeout(LIMIT_S):
        late, gone = (gevent.spawn(answer_after, s) for s in (3.1, 2 * LIMIT_S))
        assert late.get() == b'yes'
        assert gone.get() is None


@pytest.mark.parametrize(
    ('status', 'logged'),
    [(status, 'answer_status_invalid') for status in (600, 700, 999)]
    + [(status, 'answer_unreadable') for status in (0, 99)],
)
def test_a_status_that_none_is_defined_for_is_garbled(status, logged, caplog):
    # Guards against bytes that are passed on as an answer though no target sends them.
    target = ScriptedTarget([b'HTTP/1.1 %03d X\r\nX-Id: 1\r\n\r\n' % status])
    conn = connect(target)
    send_request(conn)
    with pytest.raises(Garbled):
        conn.read_head()
    assert logged in caplog.messages


@pytest.mark.parametrize('status', [b'20', b'2000', b'2x0', b'', b'-200'])
def test_a_status_that_is_not_three_digits_is_garbled(status):
    # Guards against a parser that takes any number for a status.
    target = ScriptedTarget([b'HTTP/1.1 %b OK\r\nX-Id: 1\r\n\r\n' % status])
    conn = connect(target)
    send_request(conn)
    with pytest.raises(Garbled):
        conn.read_head()


def test_the_largest_status_is_passed_on():
    # Guards against a bound on statuses that leaves out some that are defined.
    target = ScriptedTarget([b'HTTP/1.1 599 X\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n'])
    conn = connect(target)
    send_request(conn)
    assert read_response(conn)[0].status == 599


@pytest.mark.parametrize('status', [600, 999])
def test_an_engine_has_no_answer_with_an_undefined_status(status):
    # Guards against the same fault on the path through the agent.
    target = ScriptedTarget([b'HTTP/1.1 %03d X\r\nContent-Length: 0\r\n\r\n' % status])
    requests = EngineRequests(address=target.address)
    with pytest.raises(Garbled):
        requests.send('POST', '/', [], b'')
