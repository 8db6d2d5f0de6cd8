"""State machine of one submission at an entry."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from ..effects import Send
from ..errors.outcomes import (
    ID_TOO_OLD,
    Completed,
    Failed,
    Outcome,
    OutcomeKind,
    Quarantined,
    Refused,
    Rejected,
    Unknown,
)
from ..messages.claims import Inquire, OutcomeRecord, Refuse
from ..messages.dispatch import Accepted, Chunk, End, NotHeld, NotStarted
from ..routing.chooser import Choice
from .binding import Binding
from .delivered_prefix import DeliveredPrefix
from .effects import Ask, Conclude
from .outcome_records import from_record
from .status import ClaimStatus
from .target_watch import TargetWatch

if TYPE_CHECKING:
    from ..messages.base import Message
    from ..messages.claims import ClaimReply
    from ..routing.chooser import Chooser
    from .submission import Submission

GIVE_UP_GRACE_S = 2.0
STALE_BIND_S = 2.0
# A run that has not ended this long after the deadline is no longer awaited.
DEADLINE_OVERRUN_S = 60.0
MAX_BINDINGS = 8
# Allows for the clocks of the entry and the leader running at different rates.
CLOCK_RATE_MARGIN = 0.99
NO_TARGET_RETRY_MS = 1000
ANSWER_LOST = 'answer_lost'

# Reasons for which a target returned a request that it may accept on a retry.
TRANSIENT_REASONS = frozenset({'lease', 'never_received', 'incarnation', 'stale_bind'})


class FlowState(enum.StrEnum):
    """What a flow is waiting for."""

    BINDING = 'binding'
    STREAMING = 'streaming'
    RELEASING = 'releasing'
    REFUSING = 'refusing'
    DONE = 'done'


class RequestFlow:
    """Binds, dispatches and relays one submission, and returns effects.

    The outcome says that the request did not run only after a refusal is
    committed, after the leader has replied that it is not run, or if no message
    about it was sent.  It is *unknown* as soon as whether the request ran can no
    longer be determined.  The answer is delivered as a gapless prefix, in whatever
    order its chunks arrive.
    """

    def __init__(self, *, submission: Submission, chooser: Chooser) -> None:
        self.submission = submission
        self.state = FlowState.BINDING
        self._target = ''
        self._binding_count = 0
        self._chooser = chooser
        self._excluded: set[str] = set()
        self._binding: Binding | None = None
        self._delivered = DeliveredPrefix()
        self._watch = TargetWatch(last_message_at=0.0)
        self._give_up_at = submission.deadline + GIVE_UP_GRACE_S
        self._refusal = Refused(reason='', retry_after_ms=0)
        self._has_sent_command = False
        self._bind_sent_at = 0.0

    @property
    def key(self) -> bytes:
        """Claim key of the request."""
        return self.submission.key

    @property
    def received(self) -> int:
        """Number of bytes of the answer delivered so far."""
        return self._delivered.length

    def start(self, now: float) -> list:
        """Choose a target and bind the request to it."""
        return self._bind(now, after_refusal=0)

    def refuse(
        self, kind: OutcomeKind, reason: str, retry_after_ms: int, now: float
    ) -> list:
        """Refuse the request; the flow ends after the refusal is committed.

        It ends at once if the id is known only here and no command was sent.  If
        the refusal can't be committed within `GIVE_UP_GRACE_S`, the request may
        still run, and the outcome is *unknown*.
        """
        self._give_up_at = min(self._give_up_at, now + GIVE_UP_GRACE_S)
        self._refusal = Refused(reason=reason, retry_after_ms=retry_after_ms)
        cmd = Refuse(
            key=self.key,
            fingerprint=self.submission.fingerprint,
            kind=kind,
            reason=reason,
            retry_after_ms=retry_after_ms,
        )
        if not self._has_sent_command and not self.submission.named:
            # The id is known only to this entry, and no message with it was sent.
            return self._conclude(
                from_record(
                    OutcomeRecord(
                        kind=kind, reason=reason, retry_after_ms=retry_after_ms
                    )
                )
            )
        self.state = FlowState.REFUSING
        return self._ask(cmd)

    def on_claim(self, reply: ClaimReply, now: float) -> list:
        """Handle a reply of the leader."""
        if self.state is FlowState.STREAMING:
            return self._on_inquiry_reply(reply, now)
        match reply.status:
            case ClaimStatus.BOUND | ClaimStatus.HELD:
                return self._on_bound(reply, now)
            case ClaimStatus.FINISHED:
                return self._on_finished(reply, now)
            case ClaimStatus.REFUSED:
                return self._on_refused(reply, now)
            case ClaimStatus.RELEASED:
                return self._on_released(now)
            case ClaimStatus.TARGET_RETIRED:
                return self._choose_again(now)
            case ClaimStatus.SUSPECT_BUSY:
                return self._choose_again(now)
            case ClaimStatus.QUARANTINED:
                return self._conclude(Quarantined(reason='crashed_targets'))
            case ClaimStatus.CONFLICT:
                return self._conclude(Rejected(reason='id_reused'))
            case ClaimStatus.TOO_OLD:
                return self._conclude(Rejected(reason=ID_TOO_OLD))
        return self._conclude(Unknown(reason='unexpected_reply'))

    def on_agent(self, msg: Message, now: float) -> list:
        """Handle a message of the agent about the live binding."""
        if self.state is not FlowState.STREAMING:
            return []
        if msg.binding != self._binding.number:
            return []
        absent = isinstance(msg, NotHeld) and not self._binding.may_be_in_transit(now)
        self._watch.message_received(now, held=not absent)
        match msg:
            case Accepted():
                self._binding.acknowledged = True
                return []
            case Chunk():
                return self._on_chunk(msg, now)
            case End():
                return self._on_end(msg, now)
            case NotStarted():
                return self._on_not_started(msg)
            case NotHeld() if absent:
                return self._inquire(now)
        return []

    def tick(self, now: float) -> list:
        """Handle timers: resends, silent targets, giving up and the deadline."""
        if self.state is FlowState.DONE:
            return []
        if self.state is FlowState.STREAMING:
            return self._tick_streaming(now)
        if now >= self._give_up_at:
            return self._conclude(Unknown(reason='control_unavailable'))
        is_late = now >= self.submission.deadline
        if is_late and self.state is FlowState.BINDING:
            return self._expire(now)
        return []

    def link_lost(self, address: str, now: float) -> list:
        """Resend over a new link after the link to the agent was lost."""
        if self.state is not FlowState.STREAMING or address != self._binding.address:
            return []
        return self._resend(now)

    def caller_left(self) -> list:
        """End the flow, as no caller waits for the answer at this entry.

        A run in progress is cancelled unless the caller chose the request id.
        """
        was_streaming = self.state is FlowState.STREAMING
        self.state = FlowState.DONE
        self._chooser.ended(self.submission)
        if not was_streaming or self.submission.named:
            # A caller that chose the id may reconnect and ask for the answer.
            return []
        return [self._send(self._binding.cancel())]

    # Claim

    def _bind(self, now: float, *, after_refusal: int) -> list:
        choice = self._chooser.choose(self.submission, frozenset(self._excluded), now)
        if not isinstance(choice, Choice):
            reason, retry_after_ms = choice.reason, choice.retry_after_ms
            return self.refuse(OutcomeKind.REFUSED, reason, retry_after_ms, now)
        self.state = FlowState.BINDING
        self._target = choice.target
        self._bind_sent_at = now
        return self._ask(self.submission.bind(choice, after_refusal))

    def _on_bound(self, reply: ClaimReply, now: float) -> list:
        own = reply.status == ClaimStatus.BOUND
        self._follow_binding(reply, now, own=own)
        if own and now - self._bind_sent_at > STALE_BIND_S:
            # The content may have been quarantined since.  Releasing is safe:
            # only this submission may dispatch the binding, and it has not.
            self._refusal = Refused(reason='stale_bind', retry_after_ms=0)
            return self._release()
        if own and self.state is FlowState.BINDING:
            self.state = FlowState.STREAMING
            return [self._dispatch(now)]
        self._chooser.ended(self.submission)
        self.state = FlowState.STREAMING
        return [self._attach(now)]

    def _follow_binding(self, reply: ClaimReply, now: float, *, own: bool) -> None:
        self._binding = Binding.from_reply(self.key, reply, now, own=own)
        self._target = reply.target
        self._watch = TargetWatch(last_message_at=now)
        self._binding_count += 1

    def _on_finished(self, reply: ClaimReply, now: float) -> list:
        outcome = from_record(reply.outcome)
        if not isinstance(outcome, Completed):
            return self._conclude(outcome)
        if outcome.length == len(outcome.answer):
            return [self._delivered.rest(outcome), *self._conclude(outcome)]
        self._follow_binding(reply, now, own=False)
        self._watch.is_completed = True
        self.state = FlowState.STREAMING
        return [self._attach(now)]

    def _on_refused(self, reply: ClaimReply, now: float) -> list:
        outcome = from_record(reply.outcome)
        if self.state is FlowState.REFUSING:
            return self._conclude(outcome)
        elapsed_ms = (now - self.submission.submitted_at) * 1000
        if elapsed_ms <= reply.refused_age_ms * CLOCK_RATE_MARGIN:
            # This submission was made after the refusal, so it is a new attempt.
            return self._bind(now, after_refusal=reply.refusal_index)
        # That refusal may be older than this submission, and a later submission
        # may be running by now.  Only a refusal of its own shows that this one
        # did not run.
        return self.refuse(
            outcome.kind, outcome.reason, self._chooser.retry_after_ms(), now
        )

    def _on_released(self, now: float) -> list:
        if self.state is FlowState.REFUSING:
            return self._conclude(self._refusal)
        if self._refusal.reason == 'quarantined':
            # No target accepts the content any more, so a retry is of no use.
            return self._conclude(Quarantined(reason='crashed_targets'))
        if now >= self.submission.deadline:
            return self._expire(now)
        if self._refusal.reason == 'shed':
            retry_after_ms = self._chooser.retry_after_ms()
            return self.refuse(OutcomeKind.REFUSED, 'shed', retry_after_ms, now)
        if self._refusal.reason in TRANSIENT_REASONS:
            return self._bind_again(now)
        return self._choose_again(now)

    def _expire(self, now: float) -> list:
        retry_after_ms = self._chooser.retry_after_ms()
        return self.refuse(OutcomeKind.EXPIRED, 'deadline', retry_after_ms, now)

    def _choose_again(self, now: float) -> list:
        self._excluded.add(self._target)
        return self._bind_again(now)

    def _bind_again(self, now: float) -> list:
        if self._binding_count + len(self._excluded) > 2 * MAX_BINDINGS:
            reason = 'no_target'
            return self.refuse(OutcomeKind.REFUSED, reason, NO_TARGET_RETRY_MS, now)
        return self._bind(now, after_refusal=0)

    # Answer

    def _on_chunk(self, msg: Chunk, now: float) -> list:
        self._binding.acknowledged = True
        if self._delivered.has_gap_before(msg):
            return self._resend(now)
        return self._delivered.take(msg)

    def _on_end(self, msg: End, now: float) -> list:
        outcome = from_record(msg.outcome)
        if isinstance(outcome, Completed) and msg.length != self.received:
            return self._resend(now)
        return self._conclude(outcome)

    def _on_not_started(self, msg: NotStarted) -> list:
        if self.received:
            return self._conclude(Failed(reason='contradiction'))
        self._refusal = Refused(reason=msg.reason, retry_after_ms=msg.retry_after_ms)
        return self._release()

    def _release(self) -> list:
        self.state = FlowState.RELEASING
        return self._ask(self._binding.release())

    def _tick_streaming(self, now: float) -> list:
        if self._watch.is_silent(now):
            return self._conclude(Unknown(reason='target_silent'))
        if self._watch.is_run_missing(now):
            return self._conclude_not_held()
        if now >= self.submission.deadline + DEADLINE_OVERRUN_S:
            return self._conclude(Unknown(reason='deadline'))
        effects = []
        if self._watch.is_inquiry_due(now):
            effects += self._inquire(now)
        if self._watch.is_resend_due(now):
            effects += self._resend(now)
        return effects

    # Inquiry about the claim while its target is silent

    def _inquire(self, now: float) -> list:
        if self._watch.is_inquiring:
            return []
        self._watch.inquiry_sent(now)
        return self._ask(Inquire(key=self.key))

    def _on_inquiry_reply(self, reply: ClaimReply, now: float) -> list:
        """Handle the state of the claim, whose target may have left."""
        self._watch.is_inquiring = False
        match reply.status:
            case ClaimStatus.HELD if reply.binding != self._binding.number:
                return self._on_bound(reply, now)
            case ClaimStatus.FINISHED if reply.outcome.kind == OutcomeKind.COMPLETED:
                self._watch.is_completed = True
                if reply.target_left:
                    return self._conclude(Failed(reason=ANSWER_LOST))
            case ClaimStatus.FINISHED:
                return self._on_finished(reply, now)
            case ClaimStatus.RELEASED if not self.received:
                return self._on_released(now)
            case ClaimStatus.REFUSED if not self.received:
                return self._on_refused(reply, now)
        return [] if self._watch.not_held_since is None else self._conclude_not_held()

    def _conclude_not_held(self) -> list:
        """End the flow, as the target holds no run of this request."""
        if self._watch.is_completed:
            return self._conclude(Failed(reason=ANSWER_LOST))
        return self._conclude(Unknown(reason='not_held'))

    def _resend(self, now: float) -> list:
        if self._binding.own and not self._binding.acknowledged:
            return [self._dispatch(now)]
        return [self._attach(now)]

    def _dispatch(self, now: float) -> Send:
        self._watch.sent(now)
        return self._send(self._binding.dispatch(self.submission, now))

    def _attach(self, now: float) -> Send:
        self._watch.sent(now)
        return self._send(self._binding.attach(self.received, now))

    def _send(self, body: Message) -> Send:
        return Send(to=self._binding.address, call=0, body=body)

    def _ask(self, body: Message) -> list:
        self._has_sent_command = True
        return [Ask(body=body)]

    def _conclude(self, outcome: Outcome) -> list:
        self.state = FlowState.DONE
        self._chooser.ended(self.submission)
        return [Conclude(outcome=outcome)]
