from __future__ import annotations

import errno
import logging

from pistachiopath.util.backlog import accept_waiting


class Server:
    """A server whose backlog is scripted: connections, errors, and then nothing."""

    def __init__(self, *waiting):
        self._waiting = [*waiting, None]
        self.handled = []

    def do_read(self):
        accepted = self._waiting.pop(0)
        if isinstance(accepted, OSError):
            raise accepted
        return accepted

    def do_handle(self, *accepted):
        self.handled.append(accepted)


def test_an_error_of_one_connection_is_logged_and_the_others_are_accepted(caplog):
    caplog.set_level(logging.WARNING)
    aborted = OSError(errno.ECONNABORTED, 'aborted')
    server = Server(('a', 1), aborted, ('b', 2))
    accept_waiting(server)
    assert server.handled == [('a', 1), ('b', 2)]
    assert [record.message for record in caplog.records] == ['accept_failed']
