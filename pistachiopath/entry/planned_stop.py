"""The planned stop of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..util.backlog import accept_waiting

if TYPE_CHECKING:
    from gevent.pywsgi import WSGIServer

    from .shell import EntryShell

# Time to write the last answers.
CLOSE_TIMEOUT_S = 1.0


def stop_entry(*, server: WSGIServer, shell: EntryShell, drain_s: float) -> None:
    """Refuse new connections and requests, finish the open calls, then close.

    Callers whose connections waited to be accepted hear that the entry stops.
    """
    accept_waiting(server)
    server.close()
    shell.drain(drain_s)
    server.stop(timeout=CLOSE_TIMEOUT_S)
