"""State of one request while an entry serves it."""

from __future__ import annotations

import attrs

from ..claims.identity import fingerprint
from ..quarantine.content import Content, shared_parts
from ..routing.placement import Need
from .admitter import Admitted
from .caller_request import CallerRequest
from .reservation import Reservation


@attrs.define(kw_only=True)
class Work:
    """A request, the attempts to serve it and what the caller has received.

    Times are seconds of a monotonic clock.  `may_have_run` is true once a
    target may have started the request.  `last_event` is the last event that
    the caller has, or the one after which it asked to resume, and `last_event_at`
    when it was last sent one.
    `first_attempt_at` is the caller's first attempt, if it was turned away
    before; `sent_at` is the last send to a replica, and `has_lived` tells whether
    that run has been writing its answer for a while.  `unknown_load_moves` counts
    the moves of a new request to gates whose load was not known.  `reservation`
    is the place to which it moves from a replica that has fallen silent.
    """

    req: CallerRequest
    admitted: Admitted
    started_at: float
    deadline_at: float
    first_attempt_at: float
    sends: int = 0
    tries: int = 0
    failures: int = 0
    may_have_run: bool = False
    last_event: int | None = None
    has_unnumbered_events: bool = False
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    sent_at: float = 0.0
    has_lived: bool = False
    waited_s: float = 0.0
    unknown_load_moves: int = 0
    replica: str = ''
    reservation: Reservation | None = None
    shared_parts: tuple[Content, ...] = ()
    excluded: set[str] = attrs.field(factory=set)
    denied: set[str] = attrs.field(factory=set)
    outcome: str = ''
    status: int = 0
    _fingerprint: bytes = b''

    @property
    def fingerprint(self) -> bytes:
        """Identity of the content, which is the same in every attempt."""
        if not self._fingerprint:
            customer = self.admitted.customer
            self._fingerprint = fingerprint(
                customer.name if customer else '',
                self.req.http.target.decode('latin-1'),
                self.req.http.body,
            )
        return self._fingerprint

    @property
    def need(self) -> Need:
        """What the request needs of a replica."""
        return Need(
            tier=self.admitted.tier,
            prompt_tokens=self.req.prompt_tokens,
            output_tokens=self.req.output_tokens,
            parts=self.req.parts,
        )

    @property
    def spent_ms(self) -> int:
        """Milliseconds that the caller spent on earlier attempts."""
        return int((self.started_at - self.first_attempt_at) * 1000)

    def ran_ms(self, now: float) -> int:
        """Return the milliseconds since the last send, -1 if there was none."""
        return int((now - self.sent_at) * 1000) if self.sent_at else -1

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the deadline, at least 0."""
        return max(0.0, self.deadline_at - now)


def make_work(
    req: CallerRequest, admitted: Admitted, now: float, *, spent_s: float = 0.0
) -> Work:
    """Return the state of a request that starts at `now`.

    Its caller spent `spent_s` on earlier attempts, which count for the objective.
    """
    timeout_s = admitted.route.timeout_s
    wait_s = timeout_s if req.deadline_s is None else min(timeout_s, req.deadline_s)
    return Work(
        req=req,
        admitted=admitted,
        started_at=now,
        deadline_at=now + wait_s,
        first_attempt_at=now - spent_s,
        last_event=req.last_event,
        shared_parts=shared_parts(req.model, [part.part_id for part in req.parts]),
    )
