"""A replica's announcements to the control nodes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from urllib.parse import quote

import gevent

from . import wire
from .client import call_any
from .lifetime import LifetimeState
from .operations import Departure
from .topology import zone_of

if TYPE_CHECKING:
    import random

    from .history import History
    from .lifetime import Lifetime
    from .replica import Replica

SLOTS = 8


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
        self._departed: set[str] = set()

    def run(self) -> None:
        """Announce for ever."""
        gevent.sleep(self._rng.uniform(0.0, self._period_s))
        while True:
            lifetime = self._replica.lifetime
            if lifetime is not None and not lifetime.is_ended:
                self.announce(lifetime)
            gevent.sleep(self._period_s * self._rng.uniform(0.9, 1.1))

    def announce(self, lifetime: Lifetime) -> bool:
        """Announce the state of a lifetime; return whether it was acknowledged."""
        if lifetime.state is LifetimeState.GONE:
            return False
        lifetime.sequence += 1
        state = lifetime.state
        path = wire.REPLICAS_PATH + quote(lifetime.replica)
        return self._call('PUT', path, self.body(lifetime), lifetime, state)

    def delete(self, lifetime: Lifetime) -> bool:
        """Say that a lifetime has ended; return whether that was acknowledged."""
        lifetime.state = LifetimeState.GONE
        path = wire.REPLICAS_PATH + quote(lifetime.replica)
        return self._call('DELETE', path, None, lifetime, LifetimeState.GONE)

    def body(self, lifetime: Lifetime) -> dict:
        """Return an announcement."""
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

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None,
        lifetime: Lifetime,
        state: LifetimeState,
    ) -> bool:
        order = self._rng.sample(self._controls, len(self._controls))
        reply, node = call_any(order, method, path, body)
        if not reply.is_success:
            return False
        if state is not LifetimeState.READY and lifetime.replica not in self._departed:
            self._departed.add(lifetime.replica)
            departure = Departure(
                replica=lifetime.replica,
                place=lifetime.place,
                acked_at=time.monotonic(),
                node=node,
            )
            self._history.departures.append(departure)
        return True
