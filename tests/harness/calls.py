"""Calls of callers and their expected answers."""

from __future__ import annotations

import attrs

from pistachiopath.claims.identity import claim_key, dated_ms, fingerprint
from pistachiopath.claims.submission import Submission
from pistachiopath.messages.dispatch import Work

PARTS = 5


@attrs.define(kw_only=True)
class Call:
    """One submission of a request; a request may be submitted several times."""

    request: str
    entry: str
    tier: int
    once: bool
    content: bytes
    deadline_s: float
    attempt: bytes
    named: bool = True
    data: bytearray = attrs.field(factory=bytearray)
    outcome: object = None

    @property
    def key(self) -> bytes:
        return claim_key('c', self.request)

    @property
    def expected(self) -> bytes:
        return expected_answer(self.content)

    def submission(self, now: float) -> Submission:
        work = Work(
            path='/v1/completions',
            model='m',
            body=self.content,
            customer='c',
            tier=self.tier,
            promised=self.tier < 2,
            once=self.once,
            prompt_tokens=100,
            output_tokens=20,
        )
        return Submission(
            key=self.key,
            fingerprint=fingerprint('c', '/v1/completions', self.content),
            attempt=self.attempt,
            named=self.named,
            work=work,
            submitted_at=now,
            deadline=now + self.deadline_s,
            dated_ms=dated_ms(self.request),
        )


def expected_answer(content: bytes) -> bytes:
    return b''.join(b'%s#%d;' % (content, part) for part in range(PARTS))
