"""Messages about targets: registration, heartbeats and views."""

from __future__ import annotations

from .base import Message, message
from .fencing import LoadedModel


@message
class Rate(Message):
    """Prefill and decode speed of one model on one target, in tokens per second."""

    model: str
    prefill: float
    decode: float


@message
class Load(Message):
    """Load of one target; token counts cover queued and running work.

    Work of a promised tier is served before all other work, so a promised
    request waits only for the promised tokens.
    """

    running: int = 0
    queued: int = 0
    window: int = 1
    promised: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    promised_prompt_tokens: int = 0
    promised_output_tokens: int = 0

    @property
    def serves_other_work(self) -> bool:
        """Return whether work that is not promised is queued or running."""
        return self.output_tokens > self.promised_output_tokens

    @property
    def has_free_slot(self) -> bool:
        """Return whether a new request would start immediately."""
        return self.running + self.queued < self.window


@message
class Register(Message):
    """Asks for a new incarnation; `nonce` makes a retry idempotent."""

    target: str
    nonce: bytes


@message
class Registered(Message):
    """The new incarnation of a target and the highest fencing number."""

    incarnation: int
    fence: int


@message
class Retire(Message):
    """Ends an incarnation whose lease expired or that shut down as planned.

    `drained` is set by its own agent when the outcome of every run that it
    started is committed.  Requests still bound to it then never ran and never
    will.
    """

    target: str
    incarnation: int
    crashed: bool
    drained: bool = False


@message
class Heartbeat(Message):
    """Announces a target and renews its lease.

    `loaded` is empty if the engine takes no orders.
    """

    target: str
    incarnation: int
    sequence: int
    address: str
    zone: str
    models: tuple[str, ...]
    services: tuple[str, ...]
    departing: bool
    revision: int
    load: Load
    rates: tuple[Rate, ...]
    loaded: tuple[LoadedModel, ...] = ()


@message
class HeartbeatAck(Message):
    """Renews the lease of a target, starting when it sent heartbeat `sequence`.

    `quarantined` holds the keys of claims that are bound to the target and must
    not start any more.
    """

    sequence: int
    lease_ms: int
    revision: int
    quarantined: tuple[bytes, ...] = ()


@message
class CrashReport(Message):
    """An engine crashed while it ran `keys`.

    `number` counts the crashes that the agent has seen and makes the report
    idempotent.
    """

    target: str
    number: int
    keys: tuple[bytes, ...]


@message
class ViewRequest(Message):
    """Asks a control replica for its view of the targets.

    `feed` identifies this replica's change feed, and `since` is the number of
    the last change that the entry received from it.  Both are zero if it has
    received none.
    """

    revision: int
    entry: str
    number: int = 0
    feed: int = 0
    since: int = 0


@message
class TargetView(Message):
    """The last heartbeat of a target, received `age_ms` ago.

    `slot` is the number that identifies the target in later views of the same
    feed.
    """

    age_ms: int
    report: Heartbeat
    slot: int = 0


@message
class View(Message):
    """The revision in force and the changes of the targets after `since`.

    `targets` holds full descriptions of some live targets, `loads` the load
    digests of others, and `alive` is a bitmap with the slots of all remaining
    live targets.  The load of those has not changed, and their last heartbeats
    arrived at most `alive_age_ms` ago.  `rates` holds the changed speeds.
    """

    revision: int
    targets: tuple[TargetView, ...]
    number: int = 0
    feed: int = 0
    since: int = 0
    change: int = 0
    loads: bytes = b''
    alive: bytes = b''
    alive_age_ms: int = 0
    rates: bytes = b''
