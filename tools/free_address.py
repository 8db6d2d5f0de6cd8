"""Allocates loopback addresses for processes that listen later."""

from __future__ import annotations

import itertools
import os
import socket

# The system may take any port from here on for an outgoing connection.
FIRST_OUTGOING_PORT = 32_768
FIRST_PORT = 10_000
# Concurrent processes start their search for ports far apart.
PORT_STEP_BY_PROCESS = 1_013

_PORT_COUNT = FIRST_OUTGOING_PORT - FIRST_PORT
_port_offsets = itertools.count(os.getpid() * PORT_STEP_BY_PROCESS)


def free_address() -> str:
    """Return a loopback address that is free now and was not returned before.

    The port is not one that the system picks: it may pick the same port again,
    for another listener or for an outgoing connection, before the process that
    the port is meant for listens.
    """
    while True:
        port = FIRST_PORT + next(_port_offsets) % _PORT_COUNT
        if _is_free(port):
            return f'127.0.0.1:{port}'


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
