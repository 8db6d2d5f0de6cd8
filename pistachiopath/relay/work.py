"""State of one request while an entry serves it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..claims.identity import fingerprint
from ..exchange.answer_memory import HeldAnswer
from ..lifetimes.stream_start import StreamStart
from ..quarantine.content import Content, shared_parts
from ..rollouts.split_choice import SplitChoice
from ..routes.repetition import Repetition
from ..routing.placement import Need
from ..streams.name import stream_name
from ..streams.service_version import ServiceVersion, version_of
from .admitter import Admitted
from .caller_request import CallerRequest
from .reservation import Reservation

if TYPE_CHECKING:
    from ..messages.directory import ReplicaRecord


@attrs.define(kw_only=True)
class Work:
    """A request, the attempts to serve it and what the caller has received.

    Fields that end in `_at` are seconds of a monotonic clock, 0 for what has not
    happened yet.  `first_attempt_at` is the caller's first attempt, if it was
    turned away before, and `sent_at` the last send to a replica.

    `tries` counts the replicas that were chosen, `sends` the exchanges with those
    that could be reached, and `failures` the tries after which another replica was
    needed.  `excluded` names the replicas of failures, and `denied` those whose
    gates denied a place.  The request waited for places for `waited_s` seconds in
    all, and `unknown_load_moves` counts its moves to gates whose load was not known.
    `reservation` is the place to which it moves from a replica that has fallen
    silent, and `held` what the entry holds of its answer.  `may_have_run` is true
    once a target may have started the request, and `has_lived` once the last run has
    been writing its answer for a while.

    `last_event` is the last event that the caller has, or the one after which it
    asked to resume, and `last_event_at` when it was last sent one.
    `has_unnumbered_events` tells whether it has events without a number.
    `stream_version` is the version that began the stream, from its first event on;
    only replicas of that version may go on with it.  `start` is where this request
    brought that event, None if another one did.  `has_gate` tells whether the
    gate beside its replica granted the place of the last attempt, and `split_choice`
    is which version of a rollout the last send was for.
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
    stream_version: ServiceVersion | None = None
    start: StreamStart | None = None
    has_gate: bool = False
    has_unnumbered_events: bool = False
    first_event_at: float = 0.0
    last_event_at: float = 0.0
    sent_at: float = 0.0
    has_lived: bool = False
    waited_s: float = 0.0
    unknown_load_moves: int = 0
    replica: str = ''
    reservation: Reservation | None = None
    held: HeldAnswer | None = None
    split_choice: SplitChoice | None = None
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
    def is_return(self) -> bool:
        """Whether the caller comes back with a part of a stream."""
        return self.admitted.route.is_stream and self.req.last_event is not None

    @property
    def stream(self) -> str:
        """Name of the stream in all attempts, empty if it can't be resumed."""
        route = self.admitted.route
        if not self.is_return and route.repetition is not Repetition.RESUMABLE:
            return ''
        customer = self.admitted.customer
        resumed = self.req.resumes if self.is_return else ''
        return stream_name(
            customer.name if customer else '', resumed or self.req.request_id
        )

    def go_on_at(self, version: ServiceVersion) -> bool:
        """Set the version of a resumed stream; return False if it isn't allowed.

        The route may have been split, or moved to other services since.
        """
        shares = self.admitted.route.shares
        if not any(s.service == version.service and s.weight for s in shares):
            return False
        self.admitted = attrs.evolve(self.admitted, service=version.service)
        self.stream_version = version
        return True

    def may_run_at(self, record: ReplicaRecord) -> bool:
        """Return whether a replica's events may follow those that the caller has."""
        return self.stream_version in (None, version_of(record))

    @property
    def need(self) -> Need:
        """What the request needs of a replica."""
        return Need(
            tier=self.admitted.tier,
            prompt_tokens=self.req.prompt_tokens,
            output_tokens=self.req.output_tokens,
            parts=self.req.parts,
            is_final_urgent=self.admitted.is_final_urgent,
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
