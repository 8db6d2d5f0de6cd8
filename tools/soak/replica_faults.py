"""Faults of replicas: what they do wrong, and how they leave and come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from .fault_kind import FaultKind
from .lifetime import LifetimeState
from .odd_announcements import send_odd_announcements

if TYPE_CHECKING:
    import random

    from .deployment import Deployment
    from .fault import Fault
    from .replica import Replica

ABSENT_S = 0.5
# Part of the time for which a replica says falsely that it leaves.
FALSE_SHARE = 0.4
SAME_ID_SHARE = 0.3


class ReplicaFaults:
    """Carries out the faults of replicas, one call each."""

    def __init__(self, *, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng

    def carry_out(self, fault: Fault) -> None:
        """Carry out a fault and return when it is over."""
        match fault.kind:
            case FaultKind.RELEASE:
                self._release(fault)
                return
            case FaultKind.ODD_ANNOUNCEMENTS:
                send_odd_announcements(self._deployment, self._rng, fault.for_s)
                return
        replicas = self._deployment.replicas_of(fault.target)
        match fault.kind:
            case FaultKind.REPLICA_CRASHED:
                self._crash(replicas[0], fault.for_s)
            case (
                FaultKind.REPLICA_LEAVES
                | FaultKind.REPLICA_DELETES_ITSELF
                | FaultKind.REPLICA_LEAVES_UNSAID
            ):
                self._replace(replicas[0], fault.kind, fault.for_s)
            case FaultKind.REPLICA_LEAVES_FALSELY:
                self._leave_falsely(replicas[0], fault.for_s)
            case _:
                self._misbehave(replicas, fault)

    def _misbehave(self, replicas: list[Replica], fault: Fault) -> None:
        for replica in replicas:
            replica.behaviour.begin(fault.kind, fault.for_s)
        gevent.sleep(fault.for_s)
        for replica in replicas:
            replica.behaviour.reset()

    def _crash(self, replica: Replica, for_s: float) -> None:
        version = replica.lifetime.version
        replica.end()
        gevent.sleep(for_s)
        keeps_id = self._rng.random() < SAME_ID_SHARE
        replica.start(version, keeps_id=keeps_id)
        self._deployment.announcers[replica.place].announce(replica.lifetime)

    def _replace(
        self, replica: Replica, kind: FaultKind, for_s: float, version: str = ''
    ) -> None:
        """Let a replica leave as planned; another lifetime follows it.

        Only its answers say so if it leaves unsaid.
        """
        lifetime = replica.lifetime
        announcer = self._deployment.announcers[replica.place]
        lifetime.says_leaving = True
        if kind is FaultKind.REPLICA_DELETES_ITSELF:
            announcer.delete(lifetime)
        elif kind is not FaultKind.REPLICA_LEAVES_UNSAID:
            lifetime.state = LifetimeState.DRAINING
            announcer.announce(lifetime)
        gevent.sleep(for_s)
        if replica.lifetime is not lifetime or lifetime.is_ended:
            # It crashed in the meantime.
            return
        if kind is not FaultKind.REPLICA_DELETES_ITSELF:
            announcer.delete(lifetime)
        replica.end()
        gevent.sleep(ABSENT_S)
        replica.start(version or lifetime.version)
        announcer.announce(replica.lifetime)

    def _leave_falsely(self, replica: Replica, for_s: float) -> None:
        """Let a replica say that it leaves, go on as ever, and start again later."""
        lifetime = replica.lifetime
        lifetime.says_leaving = True
        gevent.sleep(FALSE_SHARE * for_s)
        lifetime.says_leaving = False
        gevent.sleep((1 - FALSE_SHARE) * for_s)
        if replica.lifetime is lifetime and not lifetime.is_ended:
            self._crash(replica, ABSENT_S)

    def _release(self, fault: Fault) -> None:
        """Replace the replicas of a service by a newer software version in turn.

        The last replica keeps the old version, so that both serve for some time.  All
        of them break off streams meanwhile, which callers then resume.
        """
        replicas = self._deployment.replicas_of(fault.target)
        newest = max(int(replica.lifetime.version[1:]) for replica in replicas)
        drain_s = self._deployment.history.bounds.drain_s
        for replica in replicas[:-1]:
            self._cut_streams(replicas)
            self._replace(replica, fault.kind, drain_s + ABSENT_S, f'v{newest + 1}')
        self._cut_streams(replicas)
        gevent.sleep(fault.for_s)
        for replica in replicas:
            replica.behaviour.reset()

    def _cut_streams(self, replicas: list[Replica]) -> None:
        for replica in replicas:
            replica.behaviour.begin(FaultKind.REPLICA_CUTS_STREAMS, 0.0)
