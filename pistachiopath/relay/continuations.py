"""Decides whether a stream goes on over a connection to a replica."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..streams.service_version import version_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..exchange.target_connection import TargetConnection
    from ..messages.directory import ReplicaRecord
    from .known_lifetimes import KnownLifetimes
    from .stream_start import StreamStart
    from .work import Work

logger = logging.getLogger(__name__)

# A replica announces itself within this time, if nothing shows sooner that the
# process behind a new connection is the one that was there before.  The caller
# waits for the next event meanwhile.
PROOF_WAIT_S = 1.4
PROOF_POLL_INTERVAL_S = 0.02
# Control nodes reply within this time.
REPLY_WAIT_S = 0.2
# Streams that break together are settled by one question.
ASK_INTERVAL_S = 0.2


class Continuations:
    """Looks for proof of the software version at the other end of a connection.

    Where there is none yet, control nodes are asked with `ask` when lifetimes of the
    named replicas announced themselves.
    """

    def __init__(
        self, *, lifetimes: KnownLifetimes, ask: Callable[[set[str], float], None]
    ) -> None:
        self._lifetimes = lifetimes
        self._ask = ask
        self._wanted: set[str] = set()
        self._asked_at: dict[str, float] = {}

    def is_known(self, start: StreamStart) -> bool:
        """Return whether the lifetime that began a stream is known.

        If it is not, the next `tick` asks for it.
        """
        is_known = self._lifetimes.is_proven(start.record, start.opened_at)
        if not is_known:
            self._wanted.add(start.record.replica)
        return is_known

    def settle(self, start: StreamStart) -> bool:
        """Return whether the lifetime that began a stream is known; ask if it isn't."""
        until = time.monotonic() + REPLY_WAIT_S
        while not self.is_known(start):
            now = time.monotonic()
            if now >= until:
                return False
            self.tick(now)
            gevent.sleep(PROOF_POLL_INTERVAL_S)
        return True

    def tick(self, now: float) -> None:
        """Ask for the replicas of which a proof is wanted."""
        for replica, asked_at in list(self._asked_at.items()):
            if now - asked_at >= ASK_INTERVAL_S:
                del self._asked_at[replica]
        due = {r for r in self._wanted if r not in self._asked_at}
        self._wanted.clear()
        if due:
            self._asked_at.update(dict.fromkeys(due, now))
            self._ask(due, now)

    def may_go_on(
        self, work: Work, record: ReplicaRecord, target: TargetConnection
    ) -> bool:
        """Return whether the process at a connection is that of the record.

        Waits for a short time, in which other connections may show it.
        """
        asked_at = time.monotonic()
        is_proven = self._await_proof(record, target, asked_at + PROOF_WAIT_S)
        now = time.monotonic()
        logger.info(
            'stream_goes_on',
            extra={
                'request': work.req.request_id,
                'stream': work.stream,
                'after_event': work.last_event,
                'replica': record.replica,
                'born_ms': record.born_ms,
                'software_version': version_of(record).version,
                'has_gate': work.has_gate,
                'is_proven': is_proven,
                'opened_ms_ago': int((now - target.opened_at) * 1000),
                'ran_ms': int(self._lifetimes.span_s(record, target.opened_at) * 1000),
                'waited_ms': int((now - asked_at) * 1000),
                'refused': '' if is_proven else 'unproven',
            },
        )
        return is_proven

    def _await_proof(
        self, record: ReplicaRecord, target: TargetConnection, until: float
    ) -> bool:
        while not self._lifetimes.is_proven(record, target.opened_at):
            now = time.monotonic()
            if now >= until or not target.is_quiet():
                return False
            self._wanted.add(record.replica)
            self.tick(now)
            gevent.sleep(PROOF_POLL_INTERVAL_S)
        return True
