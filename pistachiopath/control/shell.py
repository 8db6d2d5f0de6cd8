"""Sockets, disk and timers of a control replica."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..telemetry.metrics import Metrics
from ..transport.handshake import ROLE_NODE, ROLE_OPERATOR, Identity
from ..transport.network import Network
from ..util.loop_failures import LoopFailures
from .core import ControlCore
from .replica_loop import ReplicaLoop

if TYPE_CHECKING:
    import random

    from ..storage.data_folder import DataFolder
    from .settings import ControlSettings


class ControlShell:
    """Connects the network, the core and the loop of a control replica."""

    def __init__(
        self, *, cfg: ControlSettings, folder: DataFolder, rng: random.Random
    ) -> None:
        self._address = cfg.address
        # This program serves no metrics; failures are only logged.
        self.failures = LoopFailures(metrics=Metrics())
        self.network = Network(
            identity=Identity(
                name=cfg.address,
                role=ROLE_NODE,
                secrets={
                    ROLE_NODE: cfg.secret.encode(),
                    ROLE_OPERATOR: cfg.operator_secret.encode(),
                },
            ),
            on_message=lambda sender, call, body: self._loop.post(sender, call, body),
            on_lost=lambda peer: None,
            failures=self.failures,
        )
        self.core = ControlCore(
            address=cfg.address,
            addresses=cfg.controls,
            persisted=folder.load(),
            rng=rng,
            now=time.monotonic(),
        )
        self._loop = ReplicaLoop(
            core=self.core,
            folder=folder,
            network=self.network,
            failures=self.failures,
        )

    def start(self) -> None:
        """Listen for connections and start handling messages."""
        self.network.listen(self._address)
        self._loop.start()

    def stop(self) -> None:
        """Close the network, then stop the loop after the batch in progress."""
        self.network.close()
        self._loop.stop()
