from __future__ import annotations

import time

import gevent
import gevent.socket as gsocket

from tests.harness.waiting import let_pass

HOPS = 4


def pass_on(source, target):
    target.sendall(source.recv(1))


def test_bytes_that_arrive_while_the_process_stands_still_are_passed_on():
    first, source = gsocket.socketpair()
    for _ in range(HOPS):
        target, next_source = gsocket.socketpair()
        gevent.spawn(pass_on, source, target)
        source = next_source
    let_pass(0.0)
    first.sendall(b'a')
    gevent.spawn(time.sleep, 0.2)
    let_pass(0.05)
    source.setblocking(False)
    assert source.recv(1) == b'a'
