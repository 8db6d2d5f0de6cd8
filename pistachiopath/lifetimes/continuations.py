"""Decides whether a stream goes on over a connection to a replica."""

from __future__ import annotations

import itertools
import logging
import time
from typing import TYPE_CHECKING

import gevent

from ..directory.follower import MAX_ASKED
from ..streams.service_version import version_of

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..exchange.target_connection import TargetConnection
    from ..messages.directory import ReplicaRecord
    from ..relay.work import Work
    from ..streams.service_version import ServiceVersion
    from .known_lifetimes import KnownLifetimes
    from .stream_start import StreamStart

logger = logging.getLogger(__name__)

# Time beyond one period of announcements for which a proof is awaited.  The caller
# waits for the next event meanwhile, so there is a limit.
PROOF_MARGIN_S = 0.2
MAX_PROOF_WAIT_S = 1.8
PROOF_POLL_INTERVAL_S = 0.02
# Control nodes reply within this time.
REPLY_WAIT_S = 0.2
# Streams that break together are settled by one question.
ASK_INTERVAL_S = 0.2


class Continuations:
    """Looks for proof of the software version at the other end of a connection.

    Where there is none yet, control nodes are asked with `ask` when lifetimes of the
    named replicas announced themselves, which they do each `announce_s`.
    """

    def __init__(
        self,
        *,
        lifetimes: KnownLifetimes,
        ask: Callable[[set[str], float], None],
        announce_s: float,
    ) -> None:
        self._lifetimes = lifetimes
        self._ask = ask
        self._proof_wait_s = min(MAX_PROOF_WAIT_S, announce_s + PROOF_MARGIN_S)
        self._wanted: set[str] = set()
        self._asked_at: dict[str, float] = {}

    def version(self, start: StreamStart) -> ServiceVersion | None:
        """Return the version that began a stream, None if it is not proven.

        If it is not, the next `tick` asks for it.
        """
        found = self._lifetimes.version_at(start.record, start.opened_at)
        if found is None:
            self._wanted.add(start.record.replica)
        return found

    def settle(self, start: StreamStart) -> ServiceVersion | None:
        """Return the version that began a stream; ask if it is not proven."""
        until = time.monotonic() + REPLY_WAIT_S
        while (found := self.version(start)) is None:
            now = time.monotonic()
            if now >= until:
                return None
            self.tick(now)
            gevent.sleep(PROOF_POLL_INTERVAL_S)
        return found

    def ask(self, replicas: Iterable[str], now: float) -> None:
        """Ask when lifetimes of replicas announced themselves."""
        self._wanted.update(replicas)
        self.tick(now)

    def tick(self, now: float) -> None:
        """Ask for the replicas of which a proof is wanted."""
        for replica, asked_at in list(self._asked_at.items()):
            if now - asked_at >= ASK_INTERVAL_S:
                del self._asked_at[replica]
        self._wanted -= self._asked_at.keys()
        due = set(itertools.islice(self._wanted, MAX_ASKED))
        self._wanted -= due
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
        is_proven = self.await_proof(record, target)
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
                'is_doubted': self._lifetimes.is_doubted(record),
                'opened_ms_ago': int((now - target.opened_at) * 1000),
                'ran_ms': int(self._lifetimes.span_s(record, target.opened_at) * 1000),
                'waited_ms': int((now - asked_at) * 1000),
                'refused': '' if is_proven else 'unproven',
            },
        )
        return is_proven

    def await_proof(self, record: ReplicaRecord, target: TargetConnection) -> bool:
        """Return whether an idle connection leads to a lifetime; wait for proof."""
        until = time.monotonic() + self._proof_wait_s
        while not self._lifetimes.is_proven(record, target.opened_at):
            now = time.monotonic()
            if now >= until or not target.is_quiet():
                return False
            self.ask([record.replica], now)
            gevent.sleep(PROOF_POLL_INTERVAL_S)
        return True
