"""Messages that carry the answer of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..effects import Send
from ..errors.outcomes import OutcomeKind
from ..messages.claims import OutcomeRecord
from ..messages.dispatch import Accepted, Chunk, End, NotHeld, NotStarted
from .run import RunState

if TYPE_CHECKING:
    from ..messages.base import Message
    from ..messages.dispatch import Attach, Dispatch
    from .run import Run

CHUNK_BYTES = 64 * 1024


def answer_messages(run: Run, offset: int) -> list[Message]:
    """Return the retained answer from an offset on, and the end of an ended run."""
    messages: list[Message] = []
    while offset < len(run.answer):
        data = bytes(run.answer[offset : offset + CHUNK_BYTES])
        messages.append(
            Chunk(
                key=run.key,
                binding=run.binding,
                offset=offset,
                status=run.status,
                content_type=run.content_type,
                data=data,
            )
        )
        offset += len(data)
    if run.state is RunState.ENDED:
        messages.append(_end(run, offset))
    return messages


def publish(run: Run) -> list[Send]:
    """Send all subscribers what they have not been sent of the answer."""
    effects: list[Send] = []
    for name in list(run.subscribers):
        effects += publish_to(name, run)
    return effects


def publish_to(name: str, run: Run) -> list[Send]:
    """Send a subscriber what it has not been sent of the answer."""
    messages = answer_messages(run, run.subscribers[name])
    run.subscribers[name] = len(run.answer)
    return [Send(to=name, call=0, body=message) for message in messages]


def accepted(sender: str, run: Run) -> Send:
    """Confirm to an entry that the run is held."""
    body = Accepted(key=run.key, binding=run.binding)
    return Send(to=sender, call=0, body=body)


def not_held(sender: str, msg: Attach | Dispatch) -> Send:
    """Reply to an entry that no run of the message's binding is held."""
    body = NotHeld(key=msg.key, binding=msg.binding)
    return Send(to=sender, call=0, body=body)


def not_started(run: Run) -> NotStarted:
    """Return the proof that a run never started."""
    return NotStarted(
        key=run.key,
        binding=run.binding,
        reason=run.reason,
        retry_after_ms=run.retry_after_ms,
    )


def _end(run: Run, end_offset: int) -> End:
    outcome = run.outcome
    if end_offset < outcome.length:
        outcome = OutcomeRecord(kind=OutcomeKind.FAILED, reason='answer_not_held')
    return End(key=run.key, binding=run.binding, length=outcome.length, outcome=outcome)
