"""The operator: sends configurations and reads them back."""

from __future__ import annotations

import json
import math
import time
from typing import TYPE_CHECKING

import gevent

from . import wire
from .client import Reply, call
from .documents import document, invalid_document
from .operations import Put, Read

if TYPE_CHECKING:
    import random

    from .history import History

CHANGE_INTERVAL_S = (2.0, 7.0)
READ_INTERVAL_S = 0.5
RESEND_INTERVAL_S = 0.3
RESEND_FOR_S = 30.0
# At the end of a run each node gets so long to answer a read.
LAST_READ_S = 2.0
# These answers end a call at once.
FINAL_STATUSES = frozenset({400, 409, 412, 413, 422})


class Operator:
    """Calls the control nodes at their addresses, one node after the other."""

    def __init__(
        self, *, controls: dict[str, str], history: History, rng: random.Random
    ) -> None:
        self.version = 0
        self._controls = controls
        self._history = history
        self._rng = rng

    @property
    def is_acknowledged(self) -> bool:
        """Whether any configuration was acknowledged."""
        return any(put.acked_at < math.inf for put in self._history.puts)

    def change(self) -> None:
        """Send the next configuration until it has a clear answer."""
        self.version += 1
        self._put(self.version, document(self.version), is_valid=True)

    def send_invalid(self) -> None:
        """Send a configuration that must be refused."""
        version = self.version + 1
        self._put(version, invalid_document(version), is_valid=False)

    def _put(self, version: int, content: dict, *, is_valid: bool) -> None:
        put = Put(
            version=version,
            content=json.dumps(content, separators=(',', ':')),
            sent_at=time.monotonic(),
            is_valid=is_valid,
        )
        self._history.puts.append(put)
        self._send(put)

    def _send(self, put: Put) -> None:
        until = time.monotonic() + RESEND_FOR_S
        while time.monotonic() < until:
            _, address = self._pick()
            reply = call(address, 'PUT', wire.CONFIGURATION_PATH, put.content.encode())
            put.status = reply.status
            if reply.is_success:
                put.acked_at = time.monotonic()
                return
            if reply.status in FINAL_STATUSES:
                return
            gevent.sleep(RESEND_INTERVAL_S)

    def change_forever(self) -> None:
        """Send the next configuration every few seconds."""
        while True:
            gevent.sleep(self._rng.uniform(*CHANGE_INTERVAL_S))
            gevent.spawn(self.change)

    def read_forever(self) -> None:
        """Read the configuration back at one node after the other."""
        while True:
            self.read()
            gevent.sleep(READ_INTERVAL_S)

    def read(self) -> None:
        """Read the configuration back at some node."""
        self._history.reads.append(_read(*self._pick()))

    def read_everywhere(self, nodes: dict[str, str]) -> None:
        """Read the configuration back at each node, until it answers or time is up."""
        reads = [gevent.spawn(_read_patiently, *node) for node in nodes.items()]
        gevent.joinall(reads, raise_error=True)
        self._history.last_reads += [read.value for read in reads]

    def _pick(self) -> tuple[str, str]:
        return self._rng.choice(list(self._controls.items()))


def _read_patiently(node: str, address: str) -> Read:
    until = time.monotonic() + LAST_READ_S
    read = _read(node, address)
    while not read.version and time.monotonic() < until:
        gevent.sleep(RESEND_INTERVAL_S)
        read = _read(node, address)
    return read


def _read(node: str, address: str) -> Read:
    sent_at = time.monotonic()
    reply = call(address, 'GET', wire.CONFIGURATION_PATH)
    return Read(
        node=node,
        sent_at=sent_at,
        ended_at=time.monotonic(),
        status=reply.status,
        version=_version(reply),
        content=reply.body.decode('utf-8', 'replace') if reply.is_success else '',
    )


def _version(reply: Reply) -> int:
    """Return the version of a configuration that was read, 0 if there is none."""
    if not reply.is_success:
        return 0
    try:
        return int(json.loads(reply.body)['version'])
    except (ValueError, KeyError, TypeError):
        return -1
