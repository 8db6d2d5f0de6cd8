"""Finds the leader of the control replicas and asks it until it answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.base import Message
from ..messages.replication import NotLeader

if TYPE_CHECKING:
    import random

    from ..effects import Effect

ANSWER_TIMEOUT_S = 0.4
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.4


@attrs.define(kw_only=True)
class _Question:
    body: Message
    resend_at: float
    redirected: bool = False
    backoff_s: float = BACKOFF_MIN_S


class LeaderClient:
    """Resends idempotent commands to the presumed leader.

    A command is sent again after a timeout, to the next replica, with an
    exponential backoff and full jitter.  The caller forgets it when the
    answer is of no more use.
    """

    def __init__(self, *, addresses: tuple[str, ...], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._leader = rng.choice(addresses)
        self._questions: dict[int, _Question] = {}

    @property
    def presumed_leader(self) -> str:
        """Address that the next command goes to."""
        return self._leader

    def ask(self, call: int, body: Message, now: float) -> list[Effect]:
        """Send a command; its answer comes back under `call`."""
        self._questions[call] = _Question(body=body, resend_at=now + ANSWER_TIMEOUT_S)
        return [Send(to=self._leader, call=call, body=body)]

    def is_asking(self, call: int) -> bool:
        """Tell whether a command still waits for its answer."""
        return call in self._questions

    def forget(self, call: int) -> None:
        """Stop asking."""
        self._questions.pop(call, None)

    def answered(
        self, sender: str, call: int, body: Message, now: float
    ) -> tuple[bool, list[Effect]]:
        """Take in an answer; tell whether it is final for a known call."""
        question = self._questions.get(call)
        if question is None:
            return False, []
        if not isinstance(body, NotLeader):
            del self._questions[call]
            return True, []
        if sender == self._leader:
            self._leader = body.leader or self._next_address()
        question.redirected = True
        self._back_off(question, now)
        return False, []

    def tick(self, now: float) -> list[Effect]:
        """Send again what was not answered in time."""
        effects: list[Effect] = []
        due = [(c, q) for c, q in self._questions.items() if now >= q.resend_at]
        if any(not question.redirected for _, question in due):
            self._leader = self._next_address()
        for call, question in due:
            question.redirected = False
            self._back_off(question, now)
            question.resend_at += ANSWER_TIMEOUT_S
            effects.append(Send(to=self._leader, call=call, body=question.body))
        return effects

    def _back_off(self, question: _Question, now: float) -> None:
        question.resend_at = now + self._rng.uniform(0.0, question.backoff_s)
        question.backoff_s = min(BACKOFF_MAX_S, question.backoff_s * 2)

    def _next_address(self) -> str:
        position = self._addresses.index(self._leader)
        return self._addresses[(position + 1) % len(self._addresses)]
