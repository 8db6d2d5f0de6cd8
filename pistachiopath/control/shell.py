"""Sockets, disk and timers around the decisions of a control replica."""

from __future__ import annotations

import logging
import os
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..effects import STORAGE_EFFECTS, Send
from ..errors.storage import StorageFailed
from ..transport.handshake import ROLE_NODE, ROLE_OPERATOR, Identity
from ..transport.network import Network
from .core import ControlCore

if TYPE_CHECKING:
    import random

    from ..messages.base import Message
    from ..storage.data_folder import DataFolder
    from .settings import ControlSettings

logger = logging.getLogger(__name__)

TICK_S = 0.02
EXIT_STORAGE_FAILED = 1


class ControlShell:
    """Handles batches of messages: one sync for all, then the sends."""

    def __init__(
        self, *, cfg: ControlSettings, folder: DataFolder, rng: random.Random
    ) -> None:
        self._folder = folder
        self._inbox: list[tuple[str, int, Message]] = []
        self._wake = gevent.event.Event()
        self._stopping = False
        self.network = Network(
            identity=Identity(
                name=cfg.address,
                role=ROLE_NODE,
                secrets={
                    ROLE_NODE: cfg.secret.encode(),
                    ROLE_OPERATOR: cfg.operator_secret.encode(),
                },
            ),
            on_message=self._on_message,
            on_lost=lambda peer: None,
        )
        self.core = ControlCore(
            address=cfg.address,
            addresses=cfg.controls,
            persisted=folder.load(),
            rng=rng,
            now=time.monotonic(),
        )
        self._role = ''
        self._address = cfg.address

    def start(self) -> None:
        """Listen and begin to handle messages."""
        self.network.listen(self._address)
        gevent.spawn(self._loop)

    def stop(self) -> None:
        """Stop after what has been taken in is handled."""
        self._stopping = True
        self.network.close()
        self._folder.close()

    def _on_message(self, sender: str, call: int, body: Message) -> None:
        self._inbox.append((sender, call, body))
        self._wake.set()

    def _loop(self) -> None:
        tick_at = time.monotonic()
        while not self._stopping:
            self._wake.wait(timeout=max(0.0, tick_at - time.monotonic()))
            self._wake.clear()
            now = time.monotonic()
            due = now >= tick_at
            if due:
                tick_at = now + TICK_S
            try:
                self._handle_batch(now, tick=due)
            except StorageFailed as exc:
                logger.critical(
                    'storage_failed',
                    extra={'operation': exc.operation, 'reason': exc.reason},
                )
                os._exit(EXIT_STORAGE_FAILED)

    def _handle_batch(self, now: float, *, tick: bool) -> None:
        batch = self._inbox
        self._inbox = []
        time_ms = int(time.time() * 1000)
        sends: list[Send] = []
        for sender, call, body in batch:
            effects = self.core.receive(sender, call, body, now, time_ms)
            self._store(effects, sends)
        if tick:
            self._store(self.core.tick(now, time_ms), sends)
        self._store(self.core.flush(now), sends)
        self._folder.sync()
        self._store(self.core.synced(now), sends)
        self._folder.sync()
        for send in sends:
            self.network.send(send.to, send.call, send.body)
        self._log_role()

    def _store(self, effects: list, sends: list[Send]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                sends.append(effect)
            elif isinstance(effect, STORAGE_EFFECTS):
                self._folder.write(effect)

    def _log_role(self) -> None:
        replica = self.core.group.replica
        if self._role != replica.role:
            self._role = replica.role
            logger.info(
                'role_changed',
                extra={'role': str(replica.role), 'term': replica.term},
            )
