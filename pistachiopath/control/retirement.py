"""Retirement of target incarnations that stopped sending heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.membership import Retire
from ..util.listening_span import ListeningSpan
from .registry import RETIRE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.state import TargetRecord
    from .registry import Registry

CHECK_INTERVAL_S = 1.0
COMMON_FAILURE_WINDOW_S = 2.0
STANDSTILL_S = 1.0
# Targets that are alive are heard within this time after a standstill.
HEARTBEATS_S = 2.0


class Retirement:
    """Retires incarnations without a heartbeat for `RETIRE_S` seconds.

    A single silent incarnation counts as crashed.  Several that fall silent
    within `COMMON_FAILURE_WINDOW_S` are attributed to a lost rack or a network
    partition, so that no request content becomes suspect because of them.  Nothing
    is retired right after a standstill of this process, before it has read the
    heartbeats that arrived meanwhile.
    """

    def __init__(self, *, registry: Registry, now: float) -> None:
        self._registry = registry
        self._check_at = now
        self._retired_at = now - 2 * COMMON_FAILURE_WINDOW_S
        self._listening = ListeningSpan(standstill_s=STANDSTILL_S)

    def due(
        self, records: Iterable[TargetRecord], led_since: float, now: float
    ) -> list[Retire]:
        """Return the due commands; silence before `led_since` doesn't count."""
        self._listening.turn(now)
        if now < self._check_at or now - self._listening.since < HEARTBEATS_S:
            return []
        self._check_at = now + CHECK_INTERVAL_S
        live = [record for record in records if not record.retired]
        silences_s = {r.target: self._silence_s(r, led_since, now) for r in live}
        silent_count = sum(
            s >= RETIRE_S - COMMON_FAILURE_WINDOW_S for s in silences_s.values()
        )
        is_single_failure = (
            silent_count == 1 and now - self._retired_at > COMMON_FAILURE_WINDOW_S
        )
        expired = [record for record in live if silences_s[record.target] >= RETIRE_S]
        if expired:
            self._retired_at = now
        return [
            Retire(
                target=r.target, incarnation=r.incarnation, crashed=is_single_failure
            )
            for r in expired
        ]

    def _silence_s(self, record: TargetRecord, led_since: float, now: float) -> float:
        last_at = self._registry.last_heartbeat_at(record.target, record.incarnation)
        return now - max(last_at or 0.0, led_since)
