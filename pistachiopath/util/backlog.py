"""Connections that wait in the backlog of a listening socket."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from .early_listener import BACKLOG

if TYPE_CHECKING:
    from gevent.server import StreamServer

logger = logging.getLogger(__name__)

# The kernel completes one connection more than the backlog.
MAX_WAITING = BACKLOG + 1


def accept_waiting(server: StreamServer) -> None:
    """Accept the connections that the kernel has completed, and begin to serve them.

    The kernel resets those that are not accepted when their listening socket is
    closed, with the requests that have been sent on them.  An error concerns one
    connection, and does not keep the others from being accepted.
    """
    for _ in range(MAX_WAITING):
        try:
            accepted = server.do_read()
        except OSError as exc:
            logger.warning('accept_failed', extra={'error': str(exc)})
            continue
        if not accepted:
            return
        server.do_handle(*accepted)
