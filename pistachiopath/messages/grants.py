"""Messages between entries and the gate before an engine."""

from __future__ import annotations

from .base import Message, message


@message
class Ask(Message):
    """Asks for a place on an engine.

    After `objective_ms` the answer is worth less, after `deadline_ms` nothing;
    a caller that has no first event after `patience_ms` leaves (0: it stays).
    `slots` is the number of places that the replica announces.  Within a tier
    smaller values of `customer_tier` go first.
    """

    request: str
    tier: int
    customer: str
    prompt_tokens: int
    output_tokens: int
    objective_ms: int
    deadline_ms: int
    slots: int
    customer_tier: int = 0
    patience_ms: int = 0


@message
class Granted(Message):
    """The request may be sent to the engine now."""

    request: str


@message
class Denied(Message):
    """No place in time; there may be one after `retry_after_ms`."""

    request: str
    retry_after_ms: int


@message
class ReleasePlace(Message):
    """A request waits no more, or its place is free again.

    `first_ms` is the time from sending to the first event, 0 if there was
    none; `ok` is true if the run came to its proper end.
    """

    request: str
    first_ms: int
    ok: bool


@message
class WatchLoad(Message):
    """Asks for the load of an engine.

    It is sent anew when it changes, but at most once in `period_ms`.
    """

    slots: int
    period_ms: int = 0


@message
class TierLoad(Message):
    """Requests of one tier that wait, and the engine time they need in ms."""

    tier: int
    waiting: int
    work_ms: int


@message
class GateLoad(Message):
    """Load of one engine.

    `free_in_ms` estimates when a place will be free.  The speeds are what
    runs took on average, whatever was cached.
    """

    slots: int
    running: int
    waiting: tuple[TierLoad, ...]
    free_in_ms: int
    ms_per_1000_prompt_tokens: int
    ms_per_1000_output_tokens: int
