"""Work that this entry has sent and that no load report shows yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..claims.submission import Submission


@attrs.define(kw_only=True, frozen=True)
class _Sent:
    target: str
    sent_at: float
    prompt_tokens: int
    output_tokens: int
    promised: bool


class Outstanding:
    """This entry's submissions by target; times are seconds of its clock."""

    def __init__(self) -> None:
        self._by_attempt: dict[bytes, _Sent] = {}
        self._by_target: dict[str, dict[bytes, _Sent]] = {}

    def add(self, submission: Submission, target: str, now: float) -> None:
        """Record that a submission is sent to a target."""
        self.remove(submission)
        sent = _Sent(
            target=target,
            sent_at=now,
            prompt_tokens=submission.work.prompt_tokens,
            output_tokens=submission.work.output_tokens,
            promised=submission.work.promised,
        )
        self._by_attempt[submission.attempt] = sent
        self._by_target.setdefault(target, {})[submission.attempt] = sent

    def remove(self, submission: Submission) -> None:
        """Remove a submission if it is recorded."""
        sent = self._by_attempt.pop(submission.attempt, None)
        if sent is None:
            return
        at_target = self._by_target[sent.target]
        del at_target[submission.attempt]
        if not at_target:
            del self._by_target[sent.target]

    def since(self, target: str, after: float, *, promised: bool) -> tuple[int, int]:
        """Return the prompt and output tokens sent to a target after a time.

        With `promised`, only promised work is counted.
        """
        at_target = self._by_target.get(target, {}).values()
        sent = [
            s for s in at_target if s.sent_at > after and (s.promised or not promised)
        ]
        prompt = sum(s.prompt_tokens for s in sent)
        return prompt, sum(s.output_tokens for s in sent)
