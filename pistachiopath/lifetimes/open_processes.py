"""Processes that began streams whose version is not proven yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..messages.streams import ProcessNotes
from ..streams.name import stream_digest

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from ..messages.streams import WitnessedProcess
    from .process_spans import ProcessSpans
    from .stream_start import StreamStart

# Questions whose replies are still expected.
MAX_QUESTIONS = 64
MAX_STREAMS_PER_PROCESS = 500


@attrs.define(kw_only=True, frozen=True)
class _Witness:
    """A connection of the holder, opened between two times of a monotonic clock."""

    number: int
    opened_after: float
    opened_before: float


class OpenProcesses:
    """Tells the holder of notes which process began a stream.

    The holder opens a connection of its own to the process (`WitnessedProcess`).  That
    it leads to the same process is certain if the process ran at the time at which the
    connection was opened: bytes on a connection of this entry show from when until when
    it ran.  The time is known from the question and the reply, so no clocks of two VMs
    are compared.
    """

    def __init__(self, *, spans: ProcessSpans) -> None:
        self._spans = spans
        self._last_call = 0
        self._asked_at: dict[int, float] = {}
        self._witnesses: dict[str, _Witness] = {}

    def forget(self) -> None:
        """Forget the connections of a holder that is lost."""
        self._asked_at.clear()
        self._witnesses.clear()

    def witnessed(
        self, call: int, found: Iterable[WitnessedProcess], now: float
    ) -> None:
        """Record the connections that a reply names."""
        asked_at = self._asked_at.get(call)
        if asked_at is None:
            return
        for process in found:
            self._witnesses[process.address] = _Witness(
                number=process.witness,
                opened_after=asked_at - (process.opened_ms + 1) / 1000,
                opened_before=now - process.opened_ms / 1000,
            )

    def notes(
        self, begun: Mapping[str, StreamStart], now: float
    ) -> tuple[int, tuple[ProcessNotes, ...], list[str]]:
        """Return a call with what to tell the holder, and the streams it is told of.

        `begun` holds the starts of streams by their names.  Of a process without a
        connection of the holder only that one is wanted is told.
        """
        by_process: dict[tuple[str, str, str, int], list[str]] = {}
        ran_s: dict[str, float] = {}
        for name, start in begun.items():
            record = start.record
            span = self._spans.around(record.address, start.opened_at)
            witness = self._witness(record.address, start.opened_at)
            ran_s[record.address] = max(0.0, now - span.since)
            key = (record.service, record.replica, record.address, witness)
            by_process.setdefault(key, []).append(name)
        self._last_call += 1
        self._asked_at[self._last_call] = now
        while len(self._asked_at) > MAX_QUESTIONS:
            del self._asked_at[next(iter(self._asked_at))]
        notes, noted = [], []
        for (service, replica, address, witness), names in by_process.items():
            told = names[:MAX_STREAMS_PER_PROCESS] if witness else []
            noted += told
            notes.append(
                ProcessNotes(
                    service=service,
                    replica=replica,
                    address=address,
                    ran_ms=int(ran_s[address] * 1000),
                    witness=witness,
                    digests=b''.join(stream_digest(name) for name in told),
                )
            )
        return self._last_call, tuple(notes), noted

    def _witness(self, address: str, opened_at: float) -> int:
        """Return the holder's connection to the process of one that was opened then.

        It is 0 if none is known to lead there.
        """
        found = self._witnesses.get(address)
        if found is None:
            return 0
        span = self._spans.around(address, opened_at)
        is_same = span.since <= found.opened_after and span.until >= found.opened_before
        return found.number if is_same else 0
