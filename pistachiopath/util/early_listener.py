"""Sockets that listen before the modules of the accepting server are imported.

Connections opened meanwhile wait in the socket's accept queue instead of being
refused.
"""

from __future__ import annotations

import socket

from ..errors.transport import ListenFailed

# A client that finds the queue full retries only after some seconds.
BACKLOG = 512

_opened: dict[str, socket.socket] = {}


def open_early(address: str) -> None:
    """Open a socket that listens on `host:port`.

    Errors are ignored, because logs are not set up yet: the server tries to
    listen again and reports its own failure.
    """
    try:
        _opened[address] = _listen(address)
    except ListenFailed:
        return


def is_open(address: str) -> bool:
    """Return whether an early socket listens on an address."""
    return address in _opened


def take_listener(address: str) -> socket.socket:
    """Return the socket that listens on `host:port`; the caller then owns it.

    Opens it if `open_early` did not.  Raises `ListenFailed`.
    """
    listener = _opened.pop(address, None)
    return listener if listener is not None else _listen(address)


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    try:
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError) as exc:
        raise ListenFailed(address=address, reason=str(exc)) from exc
