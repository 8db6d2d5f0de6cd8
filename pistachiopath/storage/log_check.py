"""Which records of a log file belong to the log behind a snapshot."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from ..errors.storage import LogGap

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.replication import Entry


class _Reading(enum.Enum):
    """How the records that come next in the file are taken."""

    USABLE = enum.auto()
    # They follow a record that the snapshot contradicts.
    CONTRADICTED = enum.auto()
    # They follow a record whose term is lower than that of the one before it.
    OUTDATED = enum.auto()


def usable_entries(
    stored: Iterable[Entry], *, snapshot_index: int, snapshot_term: int
) -> tuple[Entry, ...]:
    """Return the records behind a snapshot: contiguous, with terms that never fall.

    A file can hold more than these after a crash, or if another build wrote it.
    Each record replaces all earlier ones from its index on.  Records that follow
    one that the snapshot contradicts belong to a log that the snapshot replaced, as
    do those whose term is lower than that of the record before them.  Raises
    `LogGap` if a record is missing, because it may have been acknowledged.
    """
    check = _LogCheck(snapshot_index=snapshot_index, snapshot_term=snapshot_term)
    for entry in stored:
        check.add(entry)
    return tuple(check.kept)


class _LogCheck:
    """Keeps the usable records while a file is read in order."""

    def __init__(self, *, snapshot_index: int, snapshot_term: int) -> None:
        self.kept: list[Entry] = []
        self._snapshot_index = snapshot_index
        self._snapshot_term = snapshot_term
        self._reading = _Reading.USABLE
        self._last_read_index = -1

    def add(self, entry: Entry) -> None:
        """Take the next record of the file; raises `LogGap`."""
        is_next_in_file = entry.index == self._last_read_index + 1
        self._last_read_index = entry.index
        if entry.index <= self._snapshot_index:
            self._add_covered(entry)
            return
        if self._reading is _Reading.CONTRADICTED and is_next_in_file:
            return
        next_index = self._snapshot_index + 1 + len(self.kept)
        is_outdated = entry.term < self._term_before(min(entry.index, next_index))
        if is_outdated and (entry.index <= next_index or self._skips(is_next_in_file)):
            self._reading = _Reading.OUTDATED
            return
        if entry.index > next_index:
            raise LogGap(file='log', expected=next_index, found=entry.index)
        self._reading = _Reading.USABLE
        del self.kept[entry.index - self._snapshot_index - 1 :]
        self.kept.append(entry)

    def _add_covered(self, entry: Entry) -> None:
        """Compare a record with the snapshot, which covers it."""
        self.kept.clear()
        is_last = entry.index == self._snapshot_index
        is_contradicted = is_last and entry.term != self._snapshot_term
        self._reading = _Reading.CONTRADICTED if is_contradicted else _Reading.USABLE

    def _skips(self, is_next_in_file: bool) -> bool:
        return self._reading is _Reading.OUTDATED and is_next_in_file

    def _term_before(self, index: int) -> int:
        position = index - self._snapshot_index - 1
        return self.kept[position - 1].term if position else self._snapshot_term
