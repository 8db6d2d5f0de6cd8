"""A replica's announcements to the control nodes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from urllib.parse import quote

import gevent

from . import wire
from .client import call
from .lifetime import LifetimeState
from .operations import Departure
from .replica import SLOTS
from .topology import zone_of

if TYPE_CHECKING:
    import random

    from .history import History
    from .lifetime import Lifetime
    from .replica import Replica


class Announcer:
    """Announces a replica's lifetime about once in each period.

    `address` is where the replica is reached, and `controls` the addresses of the
    control nodes.  The first acknowledgement of a departure is recorded.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        address: str,
        controls: tuple[str, ...],
        period_s: float,
        history: History,
        rng: random.Random,
    ) -> None:
        self._replica = replica
        self._address = address
        self._controls = controls
        self._period_s = period_s
        self._history = history
        self._rng = rng
        self._departed: set[tuple[str, int]] = set()

    def run(self) -> None:
        """Announce for ever."""
        gevent.sleep(self._rng.uniform(0.0, self._period_s))
        while True:
            lifetime = self._replica.lifetime
            if lifetime is not None and not lifetime.is_ended:
                self.announce(lifetime)
            gevent.sleep(self._period_s * self._rng.uniform(0.9, 1.1))

    def announce(self, lifetime: Lifetime) -> None:
        """Announce the state of a lifetime, unless it is gone or too young for that."""
        is_early = time.monotonic() < lifetime.announces_from
        if is_early or lifetime.state is LifetimeState.GONE:
            return
        lifetime.sequence += 1
        self._call('PUT', lifetime, self._body(lifetime))

    def delete(self, lifetime: Lifetime) -> None:
        """Say that a lifetime has ended."""
        lifetime.state = LifetimeState.GONE
        self._call('DELETE', lifetime)

    def _call(self, method: str, lifetime: Lifetime, body: dict | None = None) -> None:
        """Call one control node after the other until one acknowledges."""
        state = lifetime.state
        path = wire.REPLICAS_PATH + quote(lifetime.replica)
        for node in self._rng.sample(self._controls, len(self._controls)):
            if call(node, method, path, body).is_success:
                self._acknowledged(lifetime, state, node)
                return

    def _acknowledged(
        self, lifetime: Lifetime, state: LifetimeState, node: str
    ) -> None:
        key = (lifetime.replica, lifetime.born_ms)
        if state is LifetimeState.READY or key in self._departed:
            return
        self._departed.add(key)
        departure = Departure(
            replica=lifetime.replica,
            place=lifetime.place,
            acked_at=time.monotonic(),
            node=node,
            born_ms=lifetime.born_ms,
        )
        self._history.departures.append(departure)

    def _body(self, lifetime: Lifetime) -> dict:
        return {
            'backend': lifetime.service,
            'address': self._address,
            'zone': zone_of(lifetime.place),
            'version': lifetime.version,
            'slots': SLOTS,
            'state': str(lifetime.state),
            'warmup_left_ms': 0,
            'phase': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'sequence': lifetime.sequence,
            'born': lifetime.born_ms,
        }
