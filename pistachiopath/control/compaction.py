"""Decides when a control replica takes a snapshot and writes it in parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .snapshot_writer import SnapshotWriter

if TYPE_CHECKING:
    from ..replication.effects import Effect
    from ..replication.replica import Replica
    from .replicated_state import ReplicatedState

MIN_ENTRIES = 4000
STEP_CLAIMS = 300


class Compaction:
    """Replaces the records of a long log by a snapshot, a few claims per step."""

    def __init__(self, *, replica: Replica, min_entries: int, step_claims: int) -> None:
        self._replica = replica
        self._min_entries = min_entries
        self._step_claims = step_claims
        self._writer: SnapshotWriter | None = None

    def abandon(self) -> None:
        """Abandon the snapshot in progress because its state was replaced."""
        self._writer = None

    def step(self, state: ReplicatedState, applied: int) -> list[Effect]:
        """Start a snapshot if the log is long, or continue the one in progress."""
        if self._writer is None:
            log_records = applied - self._replica.log.base_index
            if log_records < max(self._min_entries, len(state.claims) // 2):
                return []
            self._writer = SnapshotWriter(state=state, index=applied)
        writer = self._writer
        offset, data = writer.step(self._step_claims)
        effects: list[Effect] = [
            self._replica.snapshot_part(writer.index, offset, data)
        ]
        if writer.is_done:
            self._writer = None
            effects += self._replica.compact(writer.index, writer.data())
        return effects
