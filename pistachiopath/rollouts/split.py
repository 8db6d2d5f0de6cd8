"""Choice of the version for new requests at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.rollouts import RolloutRecord
from ..streams.service_version import version_of
from ..util.rendezvous import by_weight
from .split_choice import SplitChoice
from .state import RolloutStage, RolloutState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from ..messages.directory import ReplicaRecord
    from ..messages.rollouts import RolloutNotice

PPM = 1_000_000


@attrs.define(kw_only=True)
class _InForce:
    """A record and when its newest sender was in contact with the leader."""

    record: RolloutRecord
    fresh_at: float


class TrafficSplit:
    """Splits new requests between versions, as the rollouts in force say.

    Shares are kept by error diffusion for each service and route, with a random
    first error: over many entries that send a few requests each, the new version
    then gets its share, neither less nor more.  The record of an active rollout
    counts for `contact_s` after the leader has renewed it.  `now` is a monotonic
    clock in seconds.
    """

    def __init__(self, *, contact_s: float, rng: random.Random) -> None:
        self._contact_s = contact_s
        self._rng = rng
        self._in_force: dict[str, _InForce] = {}
        self._errors: dict[tuple[str, str], float] = {}

    @property
    def services(self) -> Iterable[str]:
        """Services that have had a rollout."""
        return self._in_force.keys()

    def record(self, service: str) -> RolloutRecord | None:
        """Return the record of a service."""
        held = self._in_force.get(service)
        return held.record if held else None

    def on_notices(
        self, notices: Iterable[RolloutNotice], now: float
    ) -> list[RolloutRecord]:
        """Take records from a control node; return those that are new here."""
        new = []
        for notice in notices:
            record, fresh_at = notice.record, now - notice.age_ms / 1000
            held = self._in_force.get(record.service)
            if held is None or record.serial > held.record.serial:
                self._in_force[record.service] = _InForce(
                    record=record, fresh_at=fresh_at
                )
                new.append(record)
            elif record.serial == held.record.serial:
                held.fresh_at = max(held.fresh_at, fresh_at)
        return new

    def is_exposed(self, service: str, now: float) -> bool:
        """Return whether new requests may go to the version of an active rollout."""
        held = self._in_force[service]
        is_fresh = now - held.fresh_at <= self._contact_s
        return is_fresh and held.record.share_ppm > 0

    def choose(
        self,
        service: str,
        route: str,
        send: int,
        held: SplitChoice | None,
    ) -> SplitChoice | None:
        """Return the choice for a send, which stays the same while it waits."""
        record = self._in_force[service].record
        if record.state != RolloutState.ACTIVE:
            return None
        if held is not None and held.order == record.order and held.send == send:
            return held
        key = (service, route)
        error = self._errors.setdefault(key, self._rng.random())
        error += record.share_ppm / PPM
        is_new = error >= 1
        self._errors[key] = error - is_new
        return SplitChoice(order=record.order, send=send, is_new=is_new)

    def is_drawn(self, service: str, serving: dict[str, int], now: float) -> bool:
        """Return whether a request of a service needs a choice."""
        record = self._in_force[service].record
        if record.state != RolloutState.ACTIVE or record.to not in serving:
            return False
        has_old = bool(_old(record, serving))
        is_split = record.share_ppm < PPM and self.is_exposed(service, now)
        return has_old and is_split

    def allowed(
        self, service: str, serving: dict[str, int], now: float
    ) -> frozenset[str]:
        """Return the versions that may get new requests, of those that serve."""
        record = self._in_force[service].record
        old = _old(record, serving)
        new = frozenset({record.to} & serving.keys())
        if record.state == RolloutState.COMPLETE:
            later = old - frozenset(record.earlier)
            return (new | later) if new else (old or frozenset(serving))
        if record.state == RolloutState.ROLLED_BACK or not self.is_exposed(
            service, now
        ):
            return old or new or frozenset(serving)
        if record.share_ppm >= PPM:
            return new or old or frozenset(serving)
        return (old | new) or frozenset(serving)

    def canaries(
        self, service: str, names: Sequence[str], serving: dict[str, int]
    ) -> frozenset[str]:
        """Return the replicas of the new version that get its share.

        They are as many as run at the load of the old ones, and the same at all
        entries.
        """
        record = self._in_force[service].record
        if record.stage != RolloutStage.CANARY:
            return frozenset(names)
        old = sum(serving[version] for version in _old(record, serving))
        share = record.share_ppm / PPM
        number = max(1, round(share / max(1e-6, 1 - share) * old))
        return frozenset(by_weight(f'{service} {record.order}', names)[:number])


def _old(record: RolloutRecord, serving: dict[str, int]) -> frozenset[str]:
    """Return the versions that the rollout replaces or that stand beside it."""
    return frozenset(serving.keys() - {record.to, *record.barred})


def serving_versions(records: Iterable[ReplicaRecord], service: str) -> dict[str, int]:
    """Return the number of replicas of a service by version, of those that serve."""
    serving: dict[str, int] = {}
    for record in records:
        if record.service == service:
            version = version_of(record).version
            serving[version] = serving.get(version, 0) + 1
    return serving
