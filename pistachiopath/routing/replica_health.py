"""Health of replicas as seen from an entry's own requests."""

from __future__ import annotations

import attrs

FAILURE_HALF_LIFE_S = 2.0
DOWN_MIN_S = 0.5
DOWN_MAX_S = 4.0


@attrs.define(kw_only=True)
class _FailureRecord:
    """Decaying count of recent failures, and until when to avoid the replica.

    The lifetime that started at `backoff_born_ms` has asked for no requests
    before `backoff_until`.
    """

    failures: float = 0.0
    updated_at: float = 0.0
    down_until: float = 0.0
    down_s: float = DOWN_MIN_S
    backoff_born_ms: int = 0
    backoff_until: float = 0.0


class ReplicaHealth:
    """Tracks the health of replicas by the outcomes of requests.

    Probes are not used: they would be charged for, and their answers may be
    wrong.  A replica that can't be reached is avoided for a time that doubles,
    up to `DOWN_MAX_S`.
    """

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def succeeded(self, replica: str, now: float) -> None:
        """Record that a request was answered."""
        record = self._records.get(replica)
        if record is None:
            return
        self._decay(record, now)
        record.failures *= 0.5
        record.down_s = DOWN_MIN_S
        record.down_until = 0.0

    def failed(self, replica: str, now: float) -> None:
        """Record that a request failed."""
        record = self._records.setdefault(replica, _FailureRecord(updated_at=now))
        self._decay(record, now)
        record.failures += 1.0

    def unreachable(self, replica: str, now: float) -> None:
        """Record that no connection could be opened."""
        record = self._records.setdefault(replica, _FailureRecord(updated_at=now))
        self._decay(record, now)
        record.failures += 1.0
        if now >= record.down_until:
            record.down_until = now + record.down_s
            record.down_s = min(DOWN_MAX_S, record.down_s * 2)

    def asked_for_backoff(
        self, replica: str, born_ms: int, backoff_s: float, now: float
    ) -> None:
        """Record that a lifetime asked for no requests for some seconds.

        Neither does a shorter backoff end a longer one, nor does a late answer of an
        earlier lifetime end that of a later one.
        """
        record = self._records.setdefault(replica, _FailureRecord(updated_at=now))
        if born_ms < record.backoff_born_ms:
            return
        if record.backoff_born_ms != born_ms:
            record.backoff_born_ms = born_ms
            record.backoff_until = 0.0
        record.backoff_until = max(record.backoff_until, now + backoff_s)

    def backoff_until(self, replica: str, born_ms: int) -> float:
        """Return when the backoff of a lifetime ends, 0 if it has none."""
        record = self._records.get(replica)
        if record is None or record.backoff_born_ms != born_ms:
            return 0.0
        return record.backoff_until

    def take_ended_backoffs(self, now: float) -> list[str]:
        """Return the replicas whose backoff has ended since the last call."""
        ended = []
        for replica, record in self._records.items():
            if record.backoff_until and now >= record.backoff_until:
                record.backoff_until = 0.0
                ended.append(replica)
        return ended

    def is_down(self, replica: str, now: float) -> bool:
        """Return whether the replica is to be avoided."""
        record = self._records.get(replica)
        return record is not None and now < record.down_until

    def failures(self, replica: str, now: float) -> float:
        """Return the decayed number of recent failures."""
        record = self._records.get(replica)
        if record is None:
            return 0.0
        self._decay(record, now)
        return record.failures

    def keep_only(self, replicas: set[str]) -> None:
        """Remove the records of all other replicas."""
        for name in [n for n in self._records if n not in replicas]:
            del self._records[name]

    @staticmethod
    def _decay(record: _FailureRecord, now: float) -> None:
        elapsed_s = now - record.updated_at
        record.failures *= 0.5 ** (elapsed_s / FAILURE_HALF_LIFE_S)
        record.updated_at = now
