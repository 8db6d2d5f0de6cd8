from __future__ import annotations

from pistachiopath.exchange.inbound import InboundBytes
from tests.harness.waiting import let_pass


class FailingSocket:
    """A socket that gives some bytes and then an unexpected error."""

    def __init__(self):
        self._parts = [b'ab']

    def recv(self, _size):
        if not self._parts:
            raise RuntimeError
        return self._parts.pop()


def test_a_reader_that_fails_unexpectedly_ends_the_connection(caplog):
    ends = []
    inbound = InboundBytes(sock=FailingSocket(), on_end=lambda: ends.append(1))
    let_pass(0.01)
    assert inbound.take(0.0) == b'ab'
    assert inbound.take(0.1) == b''
    assert ends == [1]
    assert [r.getMessage() for r in caplog.records] == ['reader_failed']


def test_a_reader_that_is_stopped_reports_no_end():
    ends = []
    inbound = InboundBytes(sock=FailingSocket(), on_end=lambda: ends.append(1))
    inbound.stop()
    let_pass(0.01)
    assert ends == []
