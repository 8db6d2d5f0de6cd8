"""A deployment under test: programs, links, replicas, operator and callers."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import gevent

from .announcer import Announcer
from .caller import Caller
from .documents import CUSTOMER, METERED_CUSTOMER
from .fleet import Fleet
from .guard import Guard
from .operator import Operator
from .partition import Partition
from .proxy import Proxy
from .replica import Replica
from .rotation import Rotation
from .sampler import Sampler

if TYPE_CHECKING:
    from pathlib import Path

    from .history import History
    from .topology import Topology

CALLERS_PER_ENTRY = 6
# The soak itself has one processor for all callers, replicas and proxies.
MAX_CALLERS = 60
METERED_CALLERS = 3
START_TIMEOUT_S = 60.0
START_TIMEOUT_PER_PROGRAM_S = 2.0
POLL_INTERVAL_S = 0.1
FIRST_SOFTWARE = 'v1'


class NotStarted(Exception):
    """The programs are not ready in time."""


class Deployment:
    """Builds and runs everything on one machine; use as a context manager."""

    def __init__(
        self, *, topology: Topology, folder: Path, history: History, seed: int
    ) -> None:
        self.topology = topology
        self.history = history
        self._seed = seed
        self._guard = Guard()
        self.fleet = Fleet(
            topology=topology, folder=folder, guard=self._guard, history=history
        )
        self.links = {
            name: Proxy(address=topology.link(name), target=topology.address(name))
            for name in topology.linked_names
        }
        self.partition = Partition(
            names={topology.node_link(name): name for name in topology.node_names}
        )
        self._node_links = [
            Proxy(
                address=topology.node_link(name),
                target=topology.node_address(name),
                partition=self.partition,
            )
            for name in topology.node_names
        ]
        self.controls = {name: topology.link(name) for name in topology.control_names}
        self.replicas = {
            name: Replica(
                place=name,
                address=topology.address(name),
                history=history,
                rng=self.rng(name),
            )
            for name in topology.replica_names
        }
        self.announcers = {
            name: Announcer(
                replica=replica,
                address=topology.link(name),
                controls=tuple(self.controls.values()),
                period_s=history.bounds.announce_s,
                history=history,
                rng=self.rng(f'announcer-{name}'),
            )
            for name, replica in self.replicas.items()
        }
        self.operator = Operator(
            controls=self.controls, history=history, rng=self.rng('operator')
        )
        self.rotation = Rotation(
            readiness={name: topology.readiness(name) for name in topology.entry_names},
            rng=self.rng('rotation'),
        )
        self._greenlets: list[gevent.Greenlet] = []
        self._readers = 0

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *_: object) -> None:
        gevent.killall(self._greenlets)
        for replica in self.replicas.values():
            replica.end()
        for link in (*self.links.values(), *self._node_links):
            link.stop()
        self.fleet.close()
        self._guard.close()

    def start(self) -> None:
        """Start everything but the callers; raises `NotStarted`."""
        sampler = Sampler(fleet=self.fleet, history=self.history)
        for link in (*self.links.values(), *self._node_links):
            link.start()
        for replica in self.replicas.values():
            replica.start(FIRST_SOFTWARE)
        self.fleet.start()
        self._spawn(self.fleet.watch)
        self._spawn(sampler.run)
        self._spawn(sampler.watch_itself)
        self._spawn(self.rotation.run)
        for announcer in self.announcers.values():
            self._spawn(announcer.run)
        self._wait_ready()
        self._spawn(self.operator.read_forever)
        self._spawn(self.operator.change_forever)

    def start_callers(self) -> None:
        """Start the callers, which send requests until the end of the run."""
        callers = min(MAX_CALLERS, CALLERS_PER_ENTRY * len(self.topology.entry_names))
        customers = [CUSTOMER] * callers + [METERED_CUSTOMER] * METERED_CALLERS
        for number, customer in enumerate(customers):
            self._spawn(self._caller(f'c{number}', customer).run)

    def start_readers(self, count: int) -> None:
        """Start callers that ask for one long stream each."""
        for number in range(self._readers, self._readers + count):
            self._spawn(self._caller(f'r{number}', CUSTOMER).read_long_stream)
        self._readers += count

    def read_everywhere(self) -> None:
        """Read the configuration back at all control nodes."""
        names = self.topology.all_control_names
        self.operator.read_everywhere({n: self.topology.link(n) for n in names})

    def _caller(self, name: str, customer: str) -> Caller:
        topology = self.topology
        return Caller(
            name=name,
            customer=customer,
            links={entry: topology.link(entry) for entry in topology.entry_names},
            rotation=self.rotation,
            lifetime=self.fleet.starts,
            configuration=lambda: self.operator.version,
            history=self.history,
            rng=self.rng(name),
        )

    def replicas_of(self, name: str) -> list[Replica]:
        """Return the replica at a VM, or all replicas of a service."""
        return [r for r in self.replicas.values() if name in (r.place, r.service)]

    def next_version(self, service: str) -> str:
        """Return the software version after the newest one that a service runs."""
        replicas = self.replicas_of(service)
        newest = max(int(replica.lifetime.version[1:]) for replica in replicas)
        return f'v{newest + 1}'

    def restart(
        self,
        replica: Replica,
        version: str,
        *,
        down_s: float,
        keeps_id: bool,
        late_s: float = 0.0,
    ) -> None:
        """Crash a replica, and start it again with another version.

        Its first report comes `late_s` after it serves.
        """
        replica.end()
        gevent.sleep(down_s)
        replica.start(version, keeps_id=keeps_id)
        replica.lifetime.announces_from = time.monotonic() + late_s
        self.announcers[replica.place].announce(replica.lifetime)

    def check_greenlets(self) -> None:
        """Raise the error of any part of the soak that has failed."""
        for greenlet in self._greenlets:
            if greenlet.dead:
                greenlet.get()

    def _wait_ready(self) -> None:
        """Send configurations until one is in force at all entries."""
        programs = len(self.topology.program_names)
        timeout_s = START_TIMEOUT_S + START_TIMEOUT_PER_PROGRAM_S * programs
        with gevent.Timeout(timeout_s, NotStarted()):
            while not self.operator.is_acknowledged:
                self.operator.change()
            while len(self.rotation.ready) < len(self.topology.entry_names):
                gevent.sleep(POLL_INTERVAL_S)

    def rng(self, name: str) -> random.Random:
        """Return a source of random numbers that depends on the seed and a name."""
        return random.Random(f'{self._seed} {name}')

    def _spawn(self, function: object) -> None:
        self._greenlets.append(gevent.spawn(function))
