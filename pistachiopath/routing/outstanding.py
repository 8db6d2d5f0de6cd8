"""Work that this entry has sent and not yet seen in a load report."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..claims.submission import Submission


@attrs.define(kw_only=True, frozen=True)
class _Sent:
    target: str
    at: float
    prompt_tokens: int
    output_tokens: int
    promised: bool


class Outstanding:
    """Own submissions by target; times are seconds of the entry's clock."""

    def __init__(self) -> None:
        self._sent: dict[bytes, _Sent] = {}
        self._by_target: dict[str, dict[bytes, _Sent]] = {}

    def add(self, submission: Submission, target: str, now: float) -> None:
        """Record that a submission goes to a target."""
        self.remove(submission)
        sent = _Sent(
            target=target,
            at=now,
            prompt_tokens=submission.work.prompt_tokens,
            output_tokens=submission.work.output_tokens,
            promised=submission.work.promised,
        )
        self._sent[submission.attempt] = sent
        self._by_target.setdefault(target, {})[submission.attempt] = sent

    def remove(self, submission: Submission) -> None:
        """Forget a submission."""
        sent = self._sent.pop(submission.attempt, None)
        if sent is None:
            return
        held = self._by_target[sent.target]
        del held[submission.attempt]
        if not held:
            del self._by_target[sent.target]

    def since(self, target: str, at: float, *, promised: bool) -> tuple[int, int]:
        """Return prompt and output tokens sent to a target after a time.

        With `promised` only those of promised work count.
        """
        held = self._by_target.get(target, {}).values()
        sent = [s for s in held if s.at > at and (s.promised or not promised)]
        prompt = sum(s.prompt_tokens for s in sent)
        return prompt, sum(s.output_tokens for s in sent)
