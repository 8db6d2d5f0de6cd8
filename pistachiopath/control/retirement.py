"""Which incarnations of targets are over because nothing was heard of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.membership import Retire
from .registry import RETIRE_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.state import TargetRecord
    from .registry import Registry

CHECK_S = 1.0
SILENCE_SPREAD_S = 2.0


class Retirement:
    """Retires the incarnations that were silent for long.

    One that falls silent alone counts as crashed; several at a time are taken
    for a lost rack or a cut, which no content is to blame for.
    """

    def __init__(self, *, registry: Registry, now: float) -> None:
        self._registry = registry
        self._check_at = now
        self._retired_at = now - 2 * SILENCE_SPREAD_S

    def due(
        self, records: Iterable[TargetRecord], led_since: float, now: float
    ) -> list[Retire]:
        """Return the commands that are due; silence counts from `led_since` on."""
        if now < self._check_at:
            return []
        self._check_at = now + CHECK_S
        live = [record for record in records if not record.retired]
        silences = {r.target: self._silence_s(r, led_since, now) for r in live}
        together = sum(s >= RETIRE_S - SILENCE_SPREAD_S for s in silences.values())
        alone = together == 1 and now - self._retired_at > SILENCE_SPREAD_S
        over = [record for record in live if silences[record.target] >= RETIRE_S]
        if over:
            self._retired_at = now
        return [
            Retire(target=r.target, incarnation=r.incarnation, crashed=alone)
            for r in over
        ]

    def _silence_s(self, record: TargetRecord, led_since: float, now: float) -> float:
        heard = self._registry.last_heard(record.target, record.incarnation)
        return now - max(heard or 0.0, led_since)
