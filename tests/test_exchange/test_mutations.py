"""Mechanisms of the server taken away: its checks have to fail."""

from __future__ import annotations

import pytest

from pistachiopath.exchange.server import HttpServer
from pistachiopath.exchange.server_connection import ServerConnection

from . import test_server as checks

LONG_HEAD = (
    b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: ' + b'y' * 3000 + b'\r\n\r\n'
)


def heads_without_bound(patch):
    """A head that comes in one piece may be of any size."""
    patch.setattr(ServerConnection, '_check_head', lambda self, head: None)
    check = checks.test_what_cannot_be_taken_gets_its_status_and_is_not_handled
    return lambda: check(LONG_HEAD, b'431')


def bodies_are_not_read(patch):
    """A request is handled before its body has come."""
    patch.setattr(ServerConnection, '_read_body', lambda self, head: b'')
    check = checks.test_a_request_split_at_any_byte_is_the_same_request
    return lambda: check(checks.LAST)


def a_stop_is_not_said(patch):
    """Callers of kept connections are not told that they end."""
    patch.setattr(HttpServer, 'announce_stop', lambda self: None)
    return checks.test_a_stop_says_close_and_ends_idle_connections


@pytest.mark.parametrize(
    'mutation',
    [heads_without_bound, bodies_are_not_read, a_stop_is_not_said],
    ids=lambda m: m.__name__,
)
def test_without_the_mechanism_its_check_fails(monkeypatch, mutation):
    check = mutation(monkeypatch)
    with pytest.raises(AssertionError):
        check()
