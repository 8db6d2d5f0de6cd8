"""Handles a replica's messages in batches and syncs storage before sending."""

from __future__ import annotations

import logging
import os
import time
from typing import TYPE_CHECKING, Protocol

import gevent
import gevent.event

from ..effects import Send
from ..errors.storage import CorruptFile, StorageFailed
from ..replication.effects import STORAGE_EFFECTS
from ..util.essential import spawn_essential

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..messages.base import Message
    from ..replication.effects import Effect
    from ..replication.group import Group
    from ..storage.data_folder import DataFolder
    from ..transport.network import Network
    from ..util.loop_failures import LoopFailures

logger = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.02
EXIT_STORAGE_FAILED = 1
REOPEN_INTERVAL_S = 0.5


class ReplicatedCore(Protocol):
    """Decision logic of a member of a replication group."""

    group: Group

    def receive(
        self, sender: str, call: int, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        """Handle a message."""

    def tick(self, now: float, time_ms: int) -> list[Effect]:
        """Run periodic work."""

    def flush(self, now: float) -> list[Effect]:
        """Send the records proposed since the last flush to the followers."""

    def synced(self, now: float) -> list[Effect]:
        """Record that all storage effects so far are durable."""


class ReplicaLoop:
    """Runs the core of a replica and its storage in one greenlet.

    After a disk operation has failed, only the data that can be read from the
    disk is known to be durable.  `reopen` reads the folder again and returns a
    new core for it, so the replica continues as after a crash once the disk
    works.  Without `reopen` the process exits.

    The process also ends after any other error in a batch.  The core may then
    have taken a part of a change that was never stored, or stored one that it
    does not know of, and a replica that goes on from there could vote twice or
    acknowledge what it does not hold.  What is on the disk is consistent, and the
    next process starts from it.
    """

    def __init__(
        self,
        *,
        core: ReplicatedCore,
        folder: DataFolder,
        network: Network,
        failures: LoopFailures,
        reopen: Callable[[], tuple[ReplicatedCore, DataFolder]] | None = None,
    ) -> None:
        self._core = core
        self._folder = folder
        self._network = network
        self._failures = failures
        self._reopen = reopen
        self._inbox: list[tuple[str, int, Message]] = []
        self._wake = gevent.event.Event()
        self._stopping = False
        self._role = ''

    def start(self) -> None:
        """Start handling messages."""
        spawn_essential('replica', self._run)

    def stop(self) -> None:
        """Stop before the next batch and close the folder."""
        self._stopping = True
        self._folder.close()

    def post(self, sender: str, call: int, body: Message) -> None:
        """Add a message to the next batch."""
        self._inbox.append((sender, call, body))
        self._wake.set()

    def _run(self) -> None:
        next_tick_at = time.monotonic()
        while not self._stopping:
            self._wake.wait(timeout=max(0.0, next_tick_at - time.monotonic()))
            self._wake.clear()
            if self._stopping:
                return
            now = time.monotonic()
            tick_due = now >= next_tick_at
            if tick_due:
                next_tick_at = now + TICK_INTERVAL_S
            try:
                self._handle_batch(now, tick=tick_due)
            except StorageFailed as exc:
                self._on_storage_failed(exc)

    def _on_storage_failed(self, exc: StorageFailed) -> None:
        """Reopen the folder, retrying until the disk works, or exit.

        Messages that arrive meanwhile count as lost, so they don't fill memory.
        """
        logger.critical(
            'storage_failed',
            extra={'operation': exc.operation, 'reason': exc.reason},
        )
        if self._reopen is None:
            os._exit(EXIT_STORAGE_FAILED)
        while not self._stopping:
            gevent.sleep(REOPEN_INTERVAL_S)
            self._folder.close()
            self._inbox = []
            try:
                self._core, self._folder = self._reopen()
            except (StorageFailed, CorruptFile) as failure:
                logger.warning('storage_still_fails', extra={'error': repr(failure)})
                continue
            logger.info('storage_reopened')
            return

    def _handle_batch(self, now: float, *, tick: bool) -> None:
        batch = self._inbox
        self._inbox = []
        time_ms = int(time.time() * 1000)
        sends: list[Send] = []
        for sender, call, body in batch:
            effects = self._core.receive(sender, call, body, now, time_ms)
            self._store(effects, sends)
        if tick:
            self._store(self._core.tick(now, time_ms), sends)
        self._store(self._core.flush(now), sends)
        self._folder.sync()
        self._store(self._core.synced(now), sends)
        self._folder.sync()
        for send in sends:
            self._send(send)
        self._log_role()

    def _send(self, send: Send) -> None:
        """Send a message; one that can't be sent counts as lost on the way."""
        try:
            self._network.send(send.to, send.call, send.body)
        except Exception as exc:
            self._failures.record('replica', type(send.body).__name__, exc)

    def _store(self, effects: list, sends: list[Send]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                sends.append(effect)
            elif isinstance(effect, STORAGE_EFFECTS):
                self._folder.write(effect)

    def _log_role(self) -> None:
        replica = self._core.group.replica
        if self._role != replica.role:
            self._role = replica.role
            logger.info(
                'role_changed',
                extra={
                    'role': str(replica.role),
                    'term': replica.term,
                    'commit': replica.commit,
                    'members': len(replica.members),
                },
            )
