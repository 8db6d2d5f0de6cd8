"""Admission of requests while an entry stops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors.relay import TurnedAway
from .run_durations import RunDurations

if TYPE_CHECKING:
    from ..grants.watch import LoadWatch
    from .work import Work

# The load balancer checks readiness once a second and removes an entry after
# two failed checks.
LEAVE_ROTATION_S = 2.7
# The answers to unfinished requests take some time, and the process is killed at
# the end of the grace period.
STOP_MARGIN_S = 0.4
STOP_MARGIN_PER_REQUEST_S = 0.002
EXIT_MARGIN_S = 0.2
STOPPING_RETRY_AFTER_S = 0.05
# Gates report average speeds.  Next to long prompts a stream takes several times
# as long.
STREAM_TIME_SAFETY_FACTOR = 4.0
PROMPT_ALLOWANCE_S = 1.0
DEFAULT_OUTPUT_TOKEN_MS = 1.5
# Targets get slower while others are replaced.
RUN_SAFETY_FACTOR = 1.5
# Multiple of the objective that a run takes if none of its route is known.
UNKNOWN_RUN_OBJECTIVE_FACTOR = 2.0


class Departure:
    """The planned stop of an entry, within `grace_s` seconds.

    While the load balancer still sends callers, requests are served that are
    expected to end within the grace period or by their own deadline.  Others are
    refused at once, so that their callers retry at another entry.  `now` is a
    monotonic clock in seconds.
    """

    def __init__(self, *, grace_s: float, loads: LoadWatch) -> None:
        self.is_stopping = False
        self._grace_s = grace_s
        self._loads = loads
        self._durations = RunDurations()
        self._ends_at = 0.0
        self._is_closed = False

    def begin(self, now: float) -> None:
        """Begin the planned stop."""
        self.is_stopping = True
        self._ends_at = now + self._grace_s

    def close(self) -> None:
        """Refuse all further requests."""
        self._is_closed = True

    def remaining_s(self, now: float, *, unfinished: int = 0) -> float:
        """Return the seconds until `unfinished` requests have to be answered."""
        margin_s = STOP_MARGIN_S + unfinished * STOP_MARGIN_PER_REQUEST_S
        return max(0.0, self._ends_at - margin_s - now)

    def answering_s(self, now: float) -> float:
        """Return the seconds until the answers have to be written."""
        return max(0.0, self._ends_at - EXIT_MARGIN_S - now)

    def check_open(self) -> None:
        """Raise `TurnedAway` once the entry refuses all requests."""
        if self._is_closed:
            raise stopping_refusal()

    def record_run(self, work: Work, now: float) -> None:
        """Record how long a request took that ends at `now`."""
        if work.sent_at:
            self._durations.record(
                work.admitted.route.name,
                waited_s=work.waited_s,
                ran_s=now - work.sent_at,
                now=now,
            )

    def check(self, work: Work, now: float) -> None:
        """Raise `TurnedAway` for a new request that would not end in time."""
        if not self.is_stopping:
            return
        wait_s = self._durations.longest_wait_s(work.admitted.route.name, now)
        self._check_fits(work, wait_s + self._run_s(work, now), now)

    def check_unsent(self, work: Work, now: float) -> None:
        """Raise `TurnedAway` for a waiting request that would not end in time.

        One that may have run already is left to try another target.
        """
        if self.is_stopping and not work.may_have_run:
            self._check_fits(work, self._run_s(work, now), now)

    def _check_fits(self, work: Work, needed_s: float, now: float) -> None:
        """Raise `TurnedAway` if the grace ends before `needed_s` and the deadline."""
        if min(needed_s, work.remaining_s(now)) > self.remaining_s(now):
            raise stopping_refusal()

    def _run_s(self, work: Work, now: float) -> float:
        """Return the seconds that a request is expected to run at most."""
        route = work.admitted.route
        tokens = work.req.output_tokens
        if route.is_stream and tokens:
            token_ms = self._loads.slowest_output_ms(now) or DEFAULT_OUTPUT_TOKEN_MS
            output_s = tokens * token_ms / 1000
            return output_s * STREAM_TIME_SAFETY_FACTOR + PROMPT_ALLOWANCE_S
        longest_s = self._durations.longest_run_s(route.name, now)
        if longest_s is None:
            return route.objective_s * UNKNOWN_RUN_OBJECTIVE_FACTOR
        return longest_s * RUN_SAFETY_FACTOR


def stopping_refusal() -> TurnedAway:
    """Return the refusal of a request that has not run."""
    return TurnedAway(
        status=503, reason='stopping', retry_after_s=STOPPING_RETRY_AFTER_S
    )
