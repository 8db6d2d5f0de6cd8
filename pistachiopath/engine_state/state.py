"""What a gate knows of the current capability of its engine."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

import attrs

from ..telemetry.metrics import Metrics
from .current_speed import OutputSlowness, PromptSpeed
from .failure_share import FailureShare
from .token_bound import fits, granted_tokens, needed_tokens
from .usual_output import UsualOutput

if TYPE_CHECKING:
    from ..grants.place import Place
    from ..grants.place_queue import PlaceQueue
    from ..messages.grants import Ask, GateLoad, ReleasePlace
    from .report import EngineReport

logger = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0
# Entries without requests of the service need no measurements.
ACTIVE_S = 5.0
# A report that took longer may be about the time before or after the wait.
MAX_ROUND_TRIP_S = 0.1
REPORT_VALID_S = 0.5
# Runs that a gate's process granted before it started again have ended by then.
UNKNOWN_RUNS_S = 15.0
# Watchers are told at once if the engine's slowness changes by more than this factor.
NOTABLE_FACTOR = 1.25
# Bounds the messages to watchers if measurements scatter, as with few runs.
MIN_TELL_INTERVAL_S = 0.2
NOTABLE_FAILED_PER_1000 = 50
# Keeps the quotient finite before a run was measured.
MIN_OUTPUT_MS = 0.001
MAX_MS = 10_000_000


class EngineState:
    """Measures an engine for the services that the switch names.

    An ask with `is_final_urgent` carries the switch.  Without one, everything is
    admitted, and the load is reported without measurements.  `now` is a monotonic
    clock in seconds.
    """

    def __init__(self, *, metrics: Metrics | None = None) -> None:
        self._metrics = metrics or Metrics()
        self._log_at = -math.inf
        self._is_full = False
        self._asked_at = -math.inf
        self._failures = FailureShare()
        self._outputs = OutputSlowness()
        self._prompts = PromptSpeed()
        self._usual_output = UsualOutput()
        self._reported_tokens = 0
        self._reported_at = -math.inf
        self._unknown_until = 0.0
        self._told_slowness = 1.0
        self._told_at = -math.inf

    def admits(self, queue: PlaceQueue, key: tuple[str, str], now: float) -> bool:
        """Return whether the engine's memory has room for the next request."""
        ask = queue.waiting[key].ask
        if not ask.is_final_urgent:
            return True
        self._asked_at = now
        self._unknown_until = self._unknown_until or now + UNKNOWN_RUNS_S
        granted = granted_tokens(place.ask for place in queue.running.values())
        reported = self._unknown_tokens(now)
        is_full = not fits(ask, granted, reported)
        if is_full and not self._is_full:
            self._record_full(ask, max(granted, reported), now)
        self._is_full = is_full
        return not is_full

    def is_active(self, now: float) -> bool:
        """Return whether the switch was seen lately."""
        return now - self._asked_at < ACTIVE_S

    def record_report(
        self, report: EngineReport, requested_at: float, now: float
    ) -> bool:
        """Record a report that was received now; one that took long says little.

        Return whether the entries that watch the load should hear of it at once.
        """
        if now - requested_at > MAX_ROUND_TRIP_S:
            self._metrics.count('engine_reports_late_total')
            return False
        self._outputs.record(report, now)
        self._reported_tokens = report.held_tokens
        self._reported_at = now
        measured = self._outputs.current
        if measured is None:
            return False
        change = measured.value / self._told_slowness
        is_notable = not 1 / NOTABLE_FACTOR < change < NOTABLE_FACTOR
        if not is_notable or now - self._told_at < MIN_TELL_INTERVAL_S:
            return False
        self._told_slowness, self._told_at = measured.value, now
        return True

    def expected_output(self, ask: Ask) -> int:
        """Return the output tokens to expect of a request."""
        if not ask.is_final_urgent:
            return ask.output_tokens
        return self._usual_output.expected(ask.tier, ask.output_tokens)

    def record_release(
        self, place: Place, body: ReleasePlace, now: float, output_ms: float
    ) -> None:
        """Record the end of a run; one that its caller abandoned says nothing.

        `output_ms` is the average time per output token.
        """
        ask = place.ask
        if not ask.is_final_urgent or not (body.ok or body.is_failure):
            return
        if body.ok:
            first_at = place.granted_at + body.first_ms / 1000
            self._prompts.record(ask.prompt_tokens, body.first_ms, first_at)
            output_s = max(0.0, now - first_at)
            tokens = 1000 * output_s / max(MIN_OUTPUT_MS, output_ms)
            self._usual_output.record(ask.tier, tokens)
        self._failures.record(is_failure=body.is_failure, now=now)
        if body.is_failure:
            self._metrics.count('gate_failed_runs_total')

    def extend(self, load: GateLoad, now: float) -> GateLoad:
        """Return the load with the measurements, unchanged without the switch."""
        if not self.is_active(now):
            return load
        return attrs.evolve(
            load,
            failed_per_1000=round(1000 * self._failures.value(now)),
            **self._output_fields(load, now),
            **self._prompt_fields(now),
        )

    def report(self, load: GateLoad, now: float) -> None:
        """Set the metrics, and log a notable state; called once a second."""
        if not self.is_active(now):
            return
        measured = self._outputs.current
        is_recent = measured is not None and now - measured.at < REPORT_VALID_S
        slowness = measured.value if is_recent else 1.0
        self._metrics.set('gate_failed_per_1000', load.failed_per_1000)
        self._metrics.set('gate_slowness_per_1000', round(1000 * slowness))
        if load.failed_per_1000 < NOTABLE_FAILED_PER_1000 and slowness < NOTABLE_FACTOR:
            return
        logger.info(
            'engine_state',
            extra={
                'failed_per_1000': load.failed_per_1000,
                'slowness': round(slowness, 2),
            },
        )

    def _output_fields(self, load: GateLoad, now: float) -> dict[str, int]:
        measured = self._outputs.current
        if measured is None:
            return {}
        current = round(load.ms_per_1000_output_tokens * measured.value)
        return {
            'current_ms_per_1000_output_tokens': min(MAX_MS, current),
            'output_age_ms': min(MAX_MS, measured.age_ms(now)),
        }

    def _prompt_fields(self, now: float) -> dict[str, int]:
        measured = self._prompts.current
        if measured is None:
            return {}
        return {
            'current_ms_per_1000_prompt_tokens': min(
                MAX_MS, round(1000 * measured.value)
            ),
            'prompt_age_ms': min(MAX_MS, measured.age_ms(now)),
        }

    def _unknown_tokens(self, now: float) -> int:
        """Return the tokens that the engine holds while not all runs are known.

        Returns 0 once the gate knows them, or if there is no recent report.
        """
        is_recent = now - self._reported_at < REPORT_VALID_S
        if not is_recent or now >= self._unknown_until:
            return 0
        return self._reported_tokens

    def _record_full(self, ask: Ask, held: int, now: float) -> None:
        self._metrics.count('gate_memory_waits_total')
        if now < self._log_at:
            return
        self._log_at = now + LOG_INTERVAL_S
        logger.info(
            'engine_memory_full',
            extra={
                'request': ask.request,
                'tokens': needed_tokens(ask),
                'held_tokens': held,
                'memory_tokens': ask.memory_tokens,
            },
        )
