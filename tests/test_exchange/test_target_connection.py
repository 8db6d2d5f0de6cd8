from __future__ import annotations

import time

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.errors.exchange import BrokenOff, ConnectFailed, Garbled
from pistachiopath.exchange import target_connection
from pistachiopath.exchange.pool import ConnectionPool
from pistachiopath.exchange.target_connection import TargetConnection

from .sockets import CLOSE, LOOPBACK, RESET, ScriptedTarget

ID = b'x-id'


def answer(request_id, body=b'yes', extra=b''):
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


def ask(conn, request_id=b'1', body=b''):
    conn.send(b'POST', b'/p', [(b'host', b'h'), (ID, request_id)], body)


def read(conn):
    head = conn.read_head()
    parts = []
    while part := conn.read_part():
        parts.append(part)
    return head, b''.join(parts)


def test_a_kept_connection_serves_several_requests():
    target = ScriptedTarget([answer(b'1'), answer(b'2', b'second')])
    conn = connect(target)
    ask(conn)
    head, body = read(conn)
    assert (head.status, body) == (200, b'yes')
    assert conn.finish(head, time.monotonic())
    ask(conn, b'2')
    assert read(conn)[1] == b'second'


def test_a_late_answer_of_another_request_is_dropped():
    target = ScriptedTarget([answer(b'0', b'late') + answer(b'1')])
    conn = connect(target)
    ask(conn)
    assert read(conn)[1] == b'yes'


def test_bytes_after_an_answer_end_the_connection():
    target = ScriptedTarget([answer(b'1') + answer(b'1', b'again')])
    conn = connect(target)
    ask(conn)
    head, body = read(conn)
    assert body == b'yes'
    assert not conn.finish(head, time.monotonic())


def test_an_answer_without_length_ends_with_its_connection():
    target = ScriptedTarget([b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it', CLOSE])
    conn = connect(target)
    ask(conn)
    assert read(conn)[1] == b'all of it'


def test_an_answer_without_length_that_is_reset_is_not_whole():
    target = ScriptedTarget([b'HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart', RESET])
    conn = connect(target)
    ask(conn)
    with pytest.raises(BrokenOff):
        read(conn)


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
def test_an_answer_that_is_cut_is_not_whole(cut):
    target = ScriptedTarget([cut, CLOSE])
    conn = connect(target)
    ask(conn)
    with pytest.raises(BrokenOff):
        read(conn)


def test_bytes_that_are_no_answer_are_garbled():
    target = ScriptedTarget([b'\x00\x01 rubbish\r\n\r\n'])
    conn = connect(target)
    ask(conn)
    with pytest.raises(Garbled):
        read(conn)


def test_an_early_answer_does_not_leave_a_half_sent_request_behind():
    early = ScriptedTarget([answer(b'1')])
    conn = connect(early)
    ask(conn, body=b'x' * 100_000)
    head, body = read(conn)
    assert body == b'yes'
    # Whether the rest was written by now or not, no other bytes may follow.
    conn.finish(head, time.monotonic())
    assert all(len(body) == 100_000 for _, body in early.requests)


def test_the_pool_does_not_use_a_connection_that_the_target_closed():
    target = ScriptedTarget([answer(b'1'), CLOSE], [answer(b'2')])
    pool = ConnectionPool(request_id_header=ID)
    conn = pool.take(target.address, 1.0)
    ask(conn)
    head, _ = read(conn)
    assert conn.finish(head, time.monotonic())
    pool.give_back(conn)
    conn._sock.recv(1)
    again = pool.take(target.address, 1.0)
    assert again is not conn
    ask(again, b'2')
    assert read(again)[0].status == 200
    assert pool.opened == 2


def test_keep_alive_bounds_the_idle_time():
    target = ScriptedTarget([answer(b'1', extra=b'Keep-Alive: timeout=5\r\n')])
    conn = connect(target)
    ask(conn)
    head, _ = read(conn)
    conn.finish(head, 100.0)
    assert conn.idle_until == 104.0
    assert not conn.is_quiet(104.0)


def test_a_refused_connection_was_never_sent_to():
    pool = ConnectionPool(request_id_header=ID)
    with pytest.raises(ConnectFailed) as caught:
        pool.take('127.0.0.1:1', 1.0)
    assert not caught.value.sent


def test_a_target_that_acknowledges_nothing_breaks_the_exchange(monkeypatch):
    # Failing first: the request hung until its caller's time was over.
    monkeypatch.setattr(target_connection, 'UNACKNOWLEDGED_MS', 200)
    listener = gsocket.socket()
    listener.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_RCVBUF, 4096)
    listener.bind((LOOPBACK, 0))
    listener.listen(1)
    address = f'{LOOPBACK}:{listener.getsockname()[1]}'
    conn = TargetConnection(address=address, request_id_header=ID)
    conn.connect(1.0)
    ask(conn, body=b'x' * 8_000_000)
    with gevent.Timeout(20), pytest.raises(BrokenOff):
        conn.read_head()
    conn.close()
