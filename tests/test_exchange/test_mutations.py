"""Each mutation disables a mechanism of the server, so that its check has to fail."""

from __future__ import annotations

import pytest

from pistachiopath.exchange.inbound import InboundBytes
from pistachiopath.exchange.request_reader import RequestReader
from pistachiopath.exchange.server import HttpServer

from . import test_request_reader as reader_checks
from . import test_server as checks
from .sample_requests import POST_AND_CLOSE

LONG_HEAD = (
    b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX: ' + b'y' * 3000 + b'\r\n\r\n'
)


def no_head_size_limit(patch):
    """A head that arrives in one piece may have any size."""
    patch.setattr(RequestReader, '_check_head', lambda self, head: None)
    check = reader_checks.test_an_invalid_request_gets_its_status_and_is_not_handled
    return lambda: check(LONG_HEAD, b'431')


def no_body_read(patch):
    """A request is handled before its body has arrived."""
    patch.setattr(RequestReader, '_read_body', lambda self, head: b'')
    check = reader_checks.test_a_request_split_at_any_byte_is_parsed_alike
    return lambda: check(POST_AND_CLOSE)


def no_stop_announcement(patch):
    """Responses on kept connections lack `Connection: close` during a stop."""
    patch.setattr(HttpServer, 'announce_stop', lambda self: None)
    return checks.test_a_stop_announces_close_and_ends_idle_connections


def unread_bytes_do_not_count(patch):
    """A connection is idle although a request has arrived."""
    patch.setattr(InboundBytes, 'poll', lambda self: None)
    return checks.test_a_request_that_was_not_read_yet_is_answered_at_a_stop


def first_limits_only(patch):
    """A connection keeps the limits of the time when it was opened."""
    patch.setattr(RequestReader, '_adopt_limits', lambda self: None)
    return lambda: reader_checks.test_changed_sizes_hold_for_open_connections(True)


@pytest.mark.parametrize(
    'mutation',
    [
        no_head_size_limit,
        no_body_read,
        no_stop_announcement,
        unread_bytes_do_not_count,
        first_limits_only,
    ],
    ids=lambda m: m.__name__,
)
def test_the_check_fails_without_the_mechanism(monkeypatch, mutation):
    check = mutation(monkeypatch)
    with pytest.raises(AssertionError):
        check()
