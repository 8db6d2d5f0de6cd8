"""Admission of requests while an entry stops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors.relay import TurnedAway

if TYPE_CHECKING:
    from ..grants.watch import LoadWatch
    from .work import Work

# The load balancer checks readiness once a second and removes an entry after
# two failed checks.
LEAVE_ROTATION_S = 2.7
# The answers to unfinished requests take some time, and the process is killed at
# the end of the grace period.
STOP_MARGIN_S = 0.4
STOPPING_RETRY_AFTER_S = 0.05
# Gates report average speeds.  Next to long prompts a stream takes several
# times as long: 2,800 tokens took up to 14.6 s where 3 s were expected.
STREAM_TIME_SAFETY_FACTOR = 4.0
WAIT_ALLOWANCE_S = 1.0
DEFAULT_OUTPUT_TOKEN_MS = 1.5


class Departure:
    """The planned stop of an entry, within `grace_s` seconds.

    Short requests are served while the load balancer still sends callers.  A
    stream that would be cut off at the end is refused at once, so that its
    caller retries at another entry.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, grace_s: float, loads: LoadWatch) -> None:
        self.is_stopping = False
        self._grace_s = grace_s
        self._loads = loads
        self._ends_at = 0.0
        self._is_closed = False

    def begin(self, now: float) -> None:
        """Begin the planned stop."""
        self.is_stopping = True
        self._ends_at = now + self._grace_s - STOP_MARGIN_S

    def close(self) -> None:
        """Refuse all further requests."""
        self._is_closed = True

    def remaining_s(self, now: float) -> float:
        """Return the seconds until unfinished requests are cut off."""
        return max(0.0, self._ends_at - now)

    def check_open(self) -> None:
        """Raise `TurnedAway` once the entry refuses all requests."""
        if self._is_closed:
            raise stopping_refusal()

    def check(self, work: Work, now: float) -> None:
        """Raise `TurnedAway` for a stream that would be cut off."""
        if not self.is_stopping or not work.admitted.route.is_stream:
            return
        token_ms = self._loads.slowest_output_ms(now) or DEFAULT_OUTPUT_TOKEN_MS
        stream_s = work.req.output_tokens * token_ms * STREAM_TIME_SAFETY_FACTOR / 1000
        if stream_s + WAIT_ALLOWANCE_S > self.remaining_s(now):
            raise stopping_refusal()


def stopping_refusal() -> TurnedAway:
    """Return the refusal of a request that has not run."""
    return TurnedAway(
        status=503, reason='stopping', retry_after_s=STOPPING_RETRY_AFTER_S
    )
