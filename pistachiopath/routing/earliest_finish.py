"""Chooses the target that should finish a request first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .chooser import Choice, NoTarget
from .estimate import Estimate
from .outstanding import Outstanding
from .prefix import CHUNK_TOKENS
from .prefix_index import MAX_TARGET_CHUNKS, PrefixIndex, rendezvous_score

if TYPE_CHECKING:
    import random

    from ..claims.submission import Submission
    from ..messages.dispatch import Work
    from ..messages.membership import Load, Rate
    from .targets import KnownTarget, TargetTable

DEFAULT_PREFILL_TOKENS_S = 2000.0
DEFAULT_DECODE_TOKENS_S = 40.0
# Work sent less than this before a heartbeat may be missing from its load.
REPORT_LAG_S = 0.3
# Costs up to the lowest times this ratio plus this time count as equal.
NEAR_COST_RATIO = 1.1
NEAR_COST_S = 0.02
# The weight of the finish time in the cost is this factor times the share of the
# remaining time that it uses, and at most 1.
URGENCY_FACTOR = 0.5
PREFILL_WEIGHT = 32.0
# Share of a prompt that its home target is assumed to have cached.
HOME_CACHED_SHARE = 0.9
RETRY_MIN_MS = 500
RETRY_JITTER_MS = 1500


class EarliestFinish:
    """Chooses at random among the targets whose estimated cost is near the lowest.

    An estimate is the time for the work ahead, from the last load report and
    from what this entry has sent since, plus the prefill and decode time of
    the request at the rates that the target reports.  Prefill that the
    target's cache probably saves is left out, so that cache locality and
    waiting are compared in seconds.  The random choice keeps entries that
    have the same stale report from all choosing the same target.
    """

    def __init__(self, *, targets: TargetTable, rng: random.Random) -> None:
        self._targets = targets
        self._rng = rng
        self._outstanding = Outstanding()
        self._prefixes = PrefixIndex()

    def choose(
        self, submission: Submission, excluded: frozenset[str], now: float
    ) -> Choice | NoTarget:
        """Return the target for a request, or why there is none."""
        model = submission.work.model
        wanted = self._likely_holders(model, submission.prefix)
        candidates = [
            c
            for c in self._targets.candidates(model, now, self._rng, wanted)
            if c.report.target not in excluded
        ]
        if not candidates:
            return NoTarget(reason='no_target', retry_after_ms=self._retry_ms(0.0))
        estimates = self._estimates(candidates, submission)
        remaining_s = submission.deadline - now
        earliest_s = min(estimate.finish_s for estimate in estimates)
        if earliest_s > remaining_s:
            # A request that would be late even without a queue is refused for
            # its deadline, not for overload.
            shortest_run_s = min(estimate.run_s for estimate in estimates)
            reason = 'deadline' if shortest_run_s > remaining_s else 'overload'
            estimates = self._with_room(estimates, submission.work, remaining_s)
            if not estimates:
                retry_after_ms = self._retry_ms(earliest_s - remaining_s)
                return NoTarget(reason=reason, retry_after_ms=retry_after_ms)
        report = self._pick(estimates, remaining_s).candidate.report
        self._outstanding.add(submission, report.target, now)
        self._prefixes.record_prompt(
            report.target, submission.prefix, MAX_TARGET_CHUNKS
        )
        return Choice(
            target=report.target,
            incarnation=report.incarnation,
            address=report.address,
        )

    def retry_after_ms(self) -> int:
        """Return the delay, with jitter, after which a refused caller should retry."""
        return self._retry_ms(0.0)

    def ended(self, submission: Submission) -> None:
        """Stop counting a submission as outstanding at its chosen target."""
        self._outstanding.remove(submission)

    def _likely_holders(self, model: str, chunks: tuple[int, ...]) -> tuple[str, ...]:
        """Return the targets whose caches may hold a prompt."""
        if not chunks:
            return ()
        holder = self._prefixes.holder(chunks[0])
        return (*self._targets.near_homes(model, chunks[0]), holder)

    def _estimates(
        self, candidates: list[KnownTarget], submission: Submission
    ) -> list[Estimate]:
        model = submission.work.model
        cached = self._cached_tokens(candidates, model, submission.prefix)
        return [
            self._estimate(c, submission.work, cached.get(c.report.target, 0))
            for c in candidates
        ]

    def _cached_tokens(
        self, candidates: list[KnownTarget], model: str, chunks: tuple[int, ...]
    ) -> dict[str, int]:
        """Return how many leading tokens each target has probably cached.

        If this entry has sent the prompt to none of them, the home of the
        prompt is assumed to have a copy that another entry sent there.
        """
        if not chunks:
            return {}
        names = [c.report.target for c in candidates]
        cached = {name: self._prefixes.cached_tokens(name, chunks) for name in names}
        if not any(cached.values()):
            home = max(candidates, key=lambda c: self._home_score(c, model, chunks[0]))
            cached[home.report.target] = int(
                len(chunks) * CHUNK_TOKENS * HOME_CACHED_SHARE
            )
        return cached

    def _home_score(self, candidate: KnownTarget, model: str, chunk: int) -> float:
        """Return the rendezvous score of a target as the home of a prompt.

        Targets with a larger window are homes more often.  The window is used
        because it is a setting: learned rates change with the load, so that
        entries would disagree on the home.
        """
        return rendezvous_score(
            chunk, candidate.report.target, candidate.report.load.window**2
        )

    def _estimate(self, candidate: KnownTarget, work: Work, cached: int) -> Estimate:
        report = candidate.report
        prefill, decode = self._rates(report.rates, work.model)
        load = report.load
        sent_prompt, sent_output = self._outstanding.since(
            report.target,
            candidate.heartbeat_at - REPORT_LAG_S,
            promised=work.promised,
        )
        if work.promised:
            ahead_prompt = load.promised_prompt_tokens + sent_prompt
            ahead_output = load.promised_output_tokens + sent_output
        else:
            ahead_prompt = load.prompt_tokens + sent_prompt
            ahead_output = load.output_tokens + sent_output
        window = max(1, load.window)
        wait_s = ahead_prompt / prefill + ahead_output / (decode * window)
        prefill_tokens = max(1, work.prompt_tokens - cached)
        run_s = prefill_tokens / prefill + work.output_tokens / decode
        return Estimate(
            candidate=candidate,
            finish_s=wait_s + run_s,
            run_s=run_s,
            prefill_tokens=prefill_tokens,
            prefill_rate=prefill,
        )

    @staticmethod
    def _with_room(
        estimates: list[Estimate], work: Work, remaining_s: float
    ) -> list[Estimate]:
        """Return the targets that can run promised work in time after all.

        They have a free slot, or serve work that is not promised.  Estimates
        divide the promised work ahead among all slots, so they are too long
        if a slot is held by work that can be paused.  Promised work is not
        refused while other work is being served.
        """
        if not work.promised:
            return []
        return [
            e
            for e in estimates
            if e.run_s <= remaining_s and _has_room(e.candidate.report.load)
        ]

    def _pick(self, estimates: list[Estimate], remaining_s: float) -> Estimate:
        """Return one of the estimates with nearly the lowest cost.

        The finish time counts less while much time remains.
        """
        mean_rate = sum(e.prefill_rate for e in estimates) / len(estimates)
        min_tokens = min(e.prefill_tokens for e in estimates)
        costs = [
            min(1.0, URGENCY_FACTOR * e.finish_s / remaining_s) * e.finish_s
            + PREFILL_WEIGHT * (e.prefill_tokens - min_tokens) / mean_rate
            for e in estimates
        ]
        limit = min(costs) * NEAR_COST_RATIO + NEAR_COST_S
        near = [e for e, cost in zip(estimates, costs, strict=True) if cost <= limit]
        return self._rng.choice(near)

    @staticmethod
    def _rates(rates: tuple[Rate, ...], model: str) -> tuple[float, float]:
        """Return the prefill and decode rates of a model in tokens per second."""
        for rate in rates:
            if rate.model == model:
                prefill = rate.prefill or DEFAULT_PREFILL_TOKENS_S
                return prefill, rate.decode or DEFAULT_DECODE_TOKENS_S
        return DEFAULT_PREFILL_TOKENS_S, DEFAULT_DECODE_TOKENS_S

    def _retry_ms(self, late_s: float) -> int:
        jitter_ms = self._rng.uniform(0, RETRY_JITTER_MS + late_s * 1000)
        return int(RETRY_MIN_MS + late_s * 1000 + jitter_ms)


def _has_room(load: Load) -> bool:
    return load.has_free_slot or load.serves_other_work
