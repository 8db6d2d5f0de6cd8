"""A replica: an HTTP server that the platform's entries send requests to."""

from __future__ import annotations

import functools
import time
from typing import TYPE_CHECKING

import gevent.lock
import gevent.server

from .behaviour import Behaviour
from .http_stream import BadMessage, CutOff, HttpStream, reset
from .lifetime import Lifetime
from .operations import SoftwareSpan
from .replica_run import ReplicaRun, RunEnded
from .topology import service_of, split_address

if TYPE_CHECKING:
    import random

    import gevent.socket as gsocket

    from .history import History

SLOTS = 8


class Replica:
    """A VM on which lifetimes of a replica follow one another.

    It records each request that reaches it.
    """

    def __init__(
        self, *, place: str, address: str, history: History, rng: random.Random
    ) -> None:
        self.place = place
        self.service = service_of(place)
        self.behaviour = Behaviour()
        self.lifetime: Lifetime | None = None
        self._starts = 0
        self._address = split_address(address)
        self._history = history
        self._rng = rng
        self._server: gevent.server.StreamServer | None = None
        self._span: SoftwareSpan | None = None
        self._streams: set[HttpStream] = set()

    def start(self, version: str, *, keeps_id: bool = False) -> None:
        """Begin a new lifetime, with the last one's id if `keeps_id`."""
        self.end()
        self._starts += 1
        replica = f'i-{self.place}-{self._starts}'
        if keeps_id and self.lifetime is not None:
            replica = self.lifetime.replica
        self.lifetime = Lifetime(
            replica=replica,
            place=self.place,
            service=self.service,
            version=version,
            born_ms=time.time_ns() // 1_000_000,
            slots=gevent.lock.Semaphore(SLOTS),
        )
        self.behaviour = Behaviour()
        self._server = gevent.server.StreamServer(
            self._address, functools.partial(self._serve, self.lifetime)
        )
        self._server.start()
        self._span = SoftwareSpan(
            place=self.place, version=version, began_at=time.monotonic()
        )
        self._history.software.append(self._span)

    def end(self) -> None:
        """End the lifetime: reset all connections and stop listening."""
        if self.lifetime is None or self.lifetime.is_ended:
            return
        self.lifetime.is_ended = True
        self._span.ended_at = time.monotonic()
        self.behaviour.reset()
        self._server.stop(timeout=0)
        for stream in list(self._streams):
            reset(stream.sock)

    def _serve(self, lifetime: Lifetime, sock: gsocket.socket, _address: tuple) -> None:
        stream = HttpStream(sock=sock)
        self._streams.add(stream)
        try:
            while not lifetime.is_ended:
                head = stream.read_head()
                if head is None:
                    return
                run = ReplicaRun(
                    stream=stream,
                    lifetime=lifetime,
                    behaviour=self.behaviour,
                    rng=self._rng,
                    head=head,
                    body=b''.join(stream.read_body(head)),
                )
                if run.arrival.request:
                    # A health probe has no id.
                    self._history.arrivals.append(run.arrival)
                run.answer()
                if lifetime.says_leaving:
                    return
        except (OSError, CutOff, BadMessage, RunEnded):
            # How each request ended is in its record.
            return
        finally:
            self._streams.discard(stream)
            stream.close()
