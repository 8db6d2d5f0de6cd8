"""Connections to processes that began streams, which show that these still run."""

from __future__ import annotations

import itertools
import logging
import socket
import time
from typing import TYPE_CHECKING

import attrs
import gevent
import gevent.socket as gsocket

from ..lifetimes.lifetime_doubts import RESTART_MIN_S
from ..messages.streams import WitnessedProcess
from ..util.plain_text import shortened

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..messages.streams import ProcessNotes

logger = logging.getLogger(__name__)

# Callers of a lost entry come back within this time after its last note.
WITNESS_RETENTION_S = 60.0
MAX_WITNESSES = 256
# Processes at one address that may have begun streams within the retention.
MAX_WITNESSES_PER_ADDRESS = 8
CONNECT_TIMEOUT_S = 0.4
# The kernel probes an idle connection, and ends it if no probe is answered.
PROBE_AFTER_S = 1
PROBE_INTERVAL_S = 1
MAX_PROBES = 2
# A connection that has not ended shows that its process ran this long ago.
ALIVE_LAG_S = PROBE_AFTER_S + PROBE_INTERVAL_S * MAX_PROBES + 0.2


@attrs.define(kw_only=True, eq=False)
class _Witness:
    """A connection to a process that ran from `opened_at` until `ended_at` at least.

    Times are seconds of a monotonic clock; `ended_at` is None while it is open.
    """

    number: int
    address: str
    sock: socket.socket
    opened_at: float
    wanted_at: float
    ended_at: float | None = None


class ProcessWitnesses:
    """Opens a connection to each process that has begun streams of unknown version.

    A connection leads to one process.  While it is open, and its probes are answered,
    that process runs, so what the replica reports meanwhile is of that process.  The
    entry that delivers the streams may end before the first report.

    `may_have_come_at` returns since when what is read now may have been waiting.
    """

    def __init__(self, *, may_have_come_at: Callable[[float], float]) -> None:
        self._may_have_come_at = may_have_come_at
        self._numbers = itertools.count(1)
        self._witnesses: dict[int, _Witness] = {}

    def __len__(self) -> int:
        return sum(w.ended_at is None for w in self._witnesses.values())

    def ask(
        self,
        notes: Iterable[ProcessNotes],
        reply: Callable[[tuple[WitnessedProcess, ...]], None],
    ) -> None:
        """Open connections to the processes that have none yet, and reply with them."""
        unseen = []
        for note in notes:
            found = self._find(note)
            if found is None:
                unseen.append(note)
            else:
                reply((found,))
        for note in unseen:
            gevent.spawn(self._open, note, reply)

    def keep(self, witness: int, now: float) -> None:
        """Record that a stream refers to a connection."""
        found = self._witnesses.get(witness)
        if found is not None:
            found.wanted_at = now

    def span(self, witness: int, now: float) -> tuple[float, float] | None:
        """Return from when until when a process is known to have run, None if never."""
        found = self._witnesses.get(witness)
        if found is None:
            return None
        alive_until = now - ALIVE_LAG_S if found.ended_at is None else found.ended_at
        return found.opened_at, max(found.opened_at, alive_until)

    def prune(self, now: float) -> None:
        """Close the connections that no stream refers to any more."""
        for number, found in list(self._witnesses.items()):
            if now - found.wanted_at >= WITNESS_RETENTION_S:
                del self._witnesses[number]
                found.sock.close()

    def close(self) -> None:
        """Close all connections."""
        for found in self._witnesses.values():
            found.sock.close()
        self._witnesses.clear()

    def _find(self, note: ProcessNotes) -> WitnessedProcess | None:
        """Return a connection that was opened while the process ran, or None."""
        now = time.monotonic()
        for found in self._witnesses.values():
            is_younger = now - found.opened_at <= note.ran_ms / 1000
            if found.address == note.address and found.ended_at is None and is_younger:
                found.wanted_at = now
                return _witnessed(found, now)
        return None

    def _open(
        self,
        note: ProcessNotes,
        reply: Callable[[tuple[WitnessedProcess, ...]], None],
    ) -> None:
        at_address = [w for w in self._witnesses.values() if w.address == note.address]
        is_full = len(self._witnesses) >= MAX_WITNESSES
        if is_full or len(at_address) >= MAX_WITNESSES_PER_ADDRESS:
            logger.warning('witness_refused', extra=self._details(note))
            return
        sock = _connect(note.address)
        now = time.monotonic()
        if sock is None:
            logger.info('witness_failed', extra=self._details(note))
            return
        found = _Witness(
            number=next(self._numbers),
            address=note.address,
            sock=sock,
            opened_at=now,
            wanted_at=now,
        )
        self._witnesses[found.number] = found
        logger.info(
            'witness_opened', extra=self._details(note) | {'witness': found.number}
        )
        reply((_witnessed(found, now),))
        self._watch(found)

    def _details(self, note: ProcessNotes) -> dict[str, object]:
        return {
            'replica': shortened(note.replica),
            'address': shortened(note.address),
            'ran_ms': note.ran_ms,
            'open': len(self),
        }

    def _watch(self, found: _Witness) -> None:
        """Wait for the end of a connection; open it again if its process still runs."""
        while found.number in self._witnesses:
            _wait_for_end(found.sock)
            if found.number not in self._witnesses:
                return
            found.sock.close()
            broken_at = self._may_have_come_at(time.monotonic())
            sock = _connect(found.address)
            # A replica that starts again takes longer until it accepts connections.
            if sock is None or time.monotonic() - broken_at >= RESTART_MIN_S:
                self._end(found, broken_at)
                if sock is not None:
                    sock.close()
                return
            found.sock = sock

    def _end(self, found: _Witness, broken_at: float) -> None:
        found.ended_at = max(found.opened_at, broken_at - ALIVE_LAG_S)
        logger.info(
            'witness_ended',
            extra={
                'address': shortened(found.address),
                'witness': found.number,
                'ran_ms': int((found.ended_at - found.opened_at) * 1000),
            },
        )


def _witnessed(found: _Witness, now: float) -> WitnessedProcess:
    return WitnessedProcess(
        address=found.address,
        witness=found.number,
        opened_ms=int((now - found.opened_at) * 1000),
    )


def _connect(address: str) -> socket.socket | None:
    """Return a connection whose kernel probes it, None if there is none in time."""
    host, _, port = address.rpartition(':')
    try:
        sock = gsocket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
    except (OSError, ValueError) as exc:
        logger.debug('witness_unconnected', extra={'error': type(exc).__name__})
        return None
    sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_KEEPALIVE, 1)
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(gsocket.IPPROTO_TCP, gsocket.TCP_KEEPCNT, MAX_PROBES)
    sock.settimeout(None)
    return sock


def _wait_for_end(sock: socket.socket) -> None:
    """Return once a connection has ended; what arrives on it is of no interest."""
    try:
        while sock.recv(1024):
            pass
    except OSError as exc:
        logger.debug('witness_broke', extra={'error': exc.errno})
