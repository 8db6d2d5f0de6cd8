"""Listening sockets for HTTP servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent.socket as gsocket
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from ..errors.transport import ListenFailed
from ..transport.network import split_address

if TYPE_CHECKING:
    import bottle

BACKLOG = 256


def make_server(
    address: str, app: bottle.Bottle, *, waits_at_stop: bool = False
) -> WSGIServer:
    """Return an HTTP server that sends small parts of answers without delay.

    Accepted sockets inherit `TCP_NODELAY` from the listening socket.  With
    `waits_at_stop`, `stop` waits for the connections up to its timeout.  Raises
    `ListenFailed`.
    """
    host, port = split_address(address)
    family = gsocket.AF_INET6 if ':' in host else gsocket.AF_INET
    try:
        listener = WSGIServer.get_listener((host, port), BACKLOG, family)
    except OSError as exc:
        raise ListenFailed(address=address, reason=str(exc)) from exc
    listener.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_NODELAY, 1)
    spawn = Pool() if waits_at_stop else 'default'
    return WSGIServer(listener, app, log=None, spawn=spawn)
