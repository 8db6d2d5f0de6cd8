"""Messages between entries and the gate of an engine."""

from __future__ import annotations

from .base import Message, independent_items, message
from .streams import ProcessNotes, StreamNotes


@message
class Ask(Message):
    """Asks for a place on an engine.

    After `objective_ms` the answer is worth less, and after `deadline_ms` it is
    worth nothing.  The caller disconnects if it has no first event after
    `patience_ms` (0 means that it does not).  `slots` is the number of places
    that the replica announces.  Within a tier, requests with smaller values of
    `customer_tier` go first.

    A request for a stream that may be resumed names the `stream`, the `service` and
    `software_version` of the replica, and the number of its `attempt`.
    `is_resumed` means that the caller has events of the stream.  `replica` and
    `born_ms` name the lifetime that the entry takes the replica for.

    `is_final_urgent` states that the most urgent streams of the service can be sent
    only once.  Only then are `spent_ms`, the time that the caller has spent on
    earlier attempts, and `memory_tokens`, the engine's memory, set.
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
    stream: str = ''
    service: str = ''
    software_version: str = ''
    attempt: int = 0
    is_resumed: bool = False
    replica: str = ''
    born_ms: int = 0
    is_final_urgent: bool = False
    spent_ms: int = 0
    memory_tokens: int = 0


@message
class Granted(Message):
    """The request may be sent to the engine now."""

    request: str


@message
class Denied(Message):
    """No place will be free in time; one may be after `retry_after_ms`."""

    request: str
    retry_after_ms: int


@message
class ReleasePlace(Message):
    """Withdraws a waiting request or frees the place of a granted one.

    `first_ms` is the time from sending to the first event, or 0 if there was
    none.  `ok` is true if the run completed normally.  `is_unproven` means that the
    process that wrote the events may be another lifetime than the one asked for.
    `is_failure` states that the replica failed the run, which a caller that left, a
    withdrawn request and one that the replica refused do not.
    """

    request: str
    first_ms: int
    ok: bool
    is_unproven: bool = False
    is_failure: bool = False


@message
class WatchLoad(Message):
    """Subscribes to the load of an engine.

    The load is sent again when it changes, but at most once every `period_ms`.

    With `streams` it asks for the origins of these streams instead.  A gate of an
    older build replies with its load to that, whereas it would close the link on a
    message of a type that it does not know.  For the same reason a control node is
    sent `notes` of streams with it, and of `processes` that began streams, and asked
    for their origins.  One of an older build ignores all of them.

    With `held` it names requests that still have their places, to a gate that may
    have lost the link to the entry and would free them.
    """

    slots: int
    period_ms: int = 0
    streams: tuple[str, ...] = ()
    notes: tuple[StreamNotes, ...] = independent_items(factory=tuple)
    held: tuple[str, ...] = ()
    processes: tuple[ProcessNotes, ...] = independent_items(factory=tuple)


@message
class TierLoad(Message):
    """Number of waiting requests of one tier and the engine time they need, in ms."""

    tier: int
    waiting: int
    work_ms: int


@message
class GateLoad(Message):
    """Load of one engine.

    `free_in_ms` estimates when a place will be free.  The speeds are moving
    averages over successful runs, including those whose prompts were cached.

    The fields after them keep their defaults until a gate is asked with
    `is_final_urgent`.  `failed_per_1000` is the recent share of failed runs.  The
    current speeds are measured, and 0 if they are not known; their ages are those at
    the time when the load is sent.
    """

    slots: int
    running: int
    waiting: tuple[TierLoad, ...]
    free_in_ms: int
    ms_per_1000_prompt_tokens: int
    ms_per_1000_output_tokens: int
    failed_per_1000: int = 0
    current_ms_per_1000_prompt_tokens: int = 0
    current_ms_per_1000_output_tokens: int = 0
    prompt_age_ms: int = 0
    output_age_ms: int = 0
