"""Decision logic of a control node for the configuration document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.base import Message
from ..messages.document import DocumentReply, PutDocument, PutReply, ReadDocument
from ..messages.replication import GROUP_MESSAGES, NotLeader
from ..messages.rollout_orders import (
    AdvanceRollout,
    DocumentSnapshot,
    OrderRollout,
    ReadRollout,
    RolloutReply,
)
from ..replication.effects import Apply, RestoreState
from ..replication.entry_kind import EntryKind
from ..rollouts.store import RolloutStore
from ..transport.codec import decode_message, encode_message

if TYPE_CHECKING:
    from ..messages.replication import Entry
    from ..replication.effects import Effect
    from ..replication.group import Group
    from ..rollouts.bounds import RolloutBounds

COMPACT_ENTRIES = 400
COMPACT_BYTES = 4 * 1024 * 1024
READS = (ReadDocument, ReadRollout)


@attrs.define(kw_only=True, frozen=True)
class _Request:
    """A put, an order or a read that has no reply yet.

    The body of a put is left out, so that puts that wait hold no documents.
    """

    sender: str
    call: int
    body: Message | None


@attrs.define(kw_only=True)
class _PendingRecord:
    """A record that was proposed in a term, and the requests that wait for it."""

    term: int
    requests: list[_Request]


@attrs.define(kw_only=True)
class _NextPut:
    """The highest put that waits for an earlier one to commit, with its requests."""

    body: PutDocument
    requests: list[_Request]


class DocumentCore:
    """Keeps the document of the highest version on a replicated log.

    A put gets its reply when its record is committed.  A read gets its reply
    when a record proposed for it is committed, so it reflects every put that was
    acknowledged before the read was sent.  This does not depend on the leader's
    clock.

    One put at a time is on its way through the log.  Those that come meanwhile wait
    for it, and only the highest of them is proposed next: a lower one is obsolete
    by then.  Otherwise puts that come faster than the members store them would fill
    memory and links with documents that nobody needs.

    Rollouts are on the same log.  Whether an order is accepted is decided where its
    record is applied, so it depends on no leader's view.

    The storage effects must be carried out and synced before the sends returned
    with them.  Then `synced` must be called and its effects handled.
    """

    def __init__(self, *, group: Group, rollouts: RolloutBounds | None = None) -> None:
        self.group = group
        self.rollouts = RolloutStore()
        self._repeat_s = rollouts.repeat_s if rollouts else 0.0
        self._now: float | None = None
        self.version = 0
        self.content = b''
        self._replica = group.replica
        self._pending: dict[int, _PendingRecord] = {}
        self._open_put: PutDocument | None = None
        self._open_put_index = 0
        self._next_put: _NextPut | None = None
        self._log_bytes = 0
        self._handle(self._replica.restored())

    @property
    def is_leader(self) -> bool:
        """Whether this node leads the group."""
        return self._replica.is_leader

    @property
    def leader(self) -> str:
        """Address of the presumed leader, or an empty string."""
        return self._replica.leader

    def tick(self, now: float, time_ms: int) -> list[Effect]:
        """Run the timers of the group and compact a long log."""
        self._note_time(now)
        effects = self._handle(self.group.tick(now, time_ms))
        return effects + self._propose_next_put(now, time_ms) + self._compact()

    def flush(self, now: float) -> list[Effect]:
        """Send the records proposed since the last flush to the followers."""
        self._note_time(now)
        return self._handle(self._replica.flush(now))

    def synced(self, now: float) -> list[Effect]:
        """Record that all storage effects so far are durable."""
        self._note_time(now)
        return self._handle(self._replica.synced(now))

    def receive(
        self, sender: str, call: int, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        """Handle a message of the replication protocol, a put, an order or a read."""
        self._note_time(now)
        if isinstance(body, GROUP_MESSAGES):
            return self._handle(self.group.receive(sender, body, now, time_ms))
        if isinstance(body, (PutDocument, OrderRollout, *READS)):
            return self._propose(sender, call, body, now, time_ms)
        if isinstance(body, AdvanceRollout) and self._replica.is_leader:
            return self._propose_command(body, [], now, time_ms)
        return []

    def _note_time(self, now: float) -> None:
        self._now = now
        self.rollouts.turn(now)

    def _propose(
        self, sender: str, call: int, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        if not self._replica.is_leader:
            return [Send(to=sender, call=call, body=NotLeader(leader=self.leader))]
        is_put = isinstance(body, PutDocument)
        request = _Request(sender=sender, call=call, body=None if is_put else body)
        if isinstance(body, READS):
            return self._propose_record(EntryKind.NOOP, b'', [request], now, time_ms)
        if isinstance(body, OrderRollout):
            order = self.rollouts.stamped(body, self._repeat_s, now)
            return self._propose_command(order, [request], now, time_ms)
        return self._put(body, request, now, time_ms)

    def _put(
        self, body: PutDocument, request: _Request, now: float, time_ms: int
    ) -> list[Effect]:
        """Propose a put, or let it wait for the one that is on its way."""
        if self._open_put is None:
            return self._propose_put(body, [request], now, time_ms)
        if body.version <= self._open_put.version:
            self._pending[self._open_put_index].requests.append(request)
        elif self._next_put is None:
            self._next_put = _NextPut(body=body, requests=[request])
        else:
            if body.version > self._next_put.body.version:
                self._next_put.body = body
            self._next_put.requests.append(request)
        return []

    def _propose_put(
        self, body: PutDocument, requests: list[_Request], now: float, time_ms: int
    ) -> list[Effect]:
        if body.version <= self.version:
            return [self._reply(request) for request in requests]
        self._open_put = body
        self._open_put_index = self._replica.log.last_index + 1
        return self._propose_command(body, requests, now, time_ms)

    def _propose_next_put(self, now: float, time_ms: int) -> list[Effect]:
        """Propose the put that waits, if none is on its way any more."""
        if self._next_put is None or self._open_put is not None:
            return []
        put = self._next_put
        self._next_put = None
        return self._propose_put(put.body, put.requests, now, time_ms)

    def _propose_command(
        self, body: Message, requests: list[_Request], now: float, time_ms: int
    ) -> list[Effect]:
        command = encode_message(body)
        return self._propose_record(EntryKind.COMMAND, command, requests, now, time_ms)

    def _propose_record(
        self,
        kind: EntryKind,
        command: bytes,
        requests: list[_Request],
        now: float,
        time_ms: int,
    ) -> list[Effect]:
        index, effects = self._replica.propose(kind, now, time_ms, command=command)
        self._pending[index] = _PendingRecord(
            term=self._replica.term, requests=requests
        )
        return self._handle(effects)

    def _handle(self, effects: list[Effect]) -> list[Effect]:
        """Apply committed records; return the remaining effects for the shell."""
        remaining: list[Effect] = []
        for effect in effects:
            match effect:
                case Apply(entry=entry):
                    remaining += self._apply(entry)
                case RestoreState():
                    self._restore(effect.data)
                case _:
                    remaining.append(effect)
        if not self._replica.is_leader:
            remaining += self._redirect_pending()
        return remaining

    def _restore(self, data: bytes) -> None:
        snapshot = decode_message(data)
        self.version = snapshot.version
        self.content = snapshot.content
        is_with_rollouts = isinstance(snapshot, DocumentSnapshot)
        rollouts = snapshot.rollouts if is_with_rollouts else ()
        self.rollouts.restore(rollouts)
        self._log_bytes = 0

    def _apply(self, entry: Entry) -> list[Effect]:
        self._log_bytes += len(entry.command)
        is_refused = False
        if entry.kind == EntryKind.COMMAND:
            is_refused = self._apply_command(decode_message(entry.command))
        if entry.index == self._open_put_index:
            self._open_put = None
        record = self._pending.pop(entry.index, None)
        if record is None or record.term != entry.term:
            return []
        return [self._reply(r, is_refused=is_refused) for r in record.requests]

    def _apply_command(self, command: Message) -> bool:
        """Apply a command; return whether it is an order that is refused."""
        match command:
            case PutDocument():
                if command.version > self.version:
                    self.version = command.version
                    self.content = command.content
            case OrderRollout():
                return self.rollouts.apply_order(command, self._now)
            case AdvanceRollout():
                self.rollouts.apply_advance(command, self._now)
        return False

    def _reply(self, request: _Request, *, is_refused: bool = False) -> Send:
        """Reply to a request whose record is committed."""
        match request.body:
            case ReadDocument():
                body = DocumentReply(version=self.version, content=self.content)
            case OrderRollout(service=service) | ReadRollout(service=service):
                record = self.rollouts.records.get(service)
                records = (record,) if record else ()
                body = RolloutReply(is_refused=is_refused, records=records)
            case _:
                body = PutReply(version=self.version)
        return Send(to=request.sender, call=request.call, body=body)

    def _redirect_pending(self) -> list[Effect]:
        """Redirect pending requests to the leader, if known; puts are idempotent."""
        records = list(self._pending.values())
        requests = [request for record in records for request in record.requests]
        if self._next_put is not None:
            requests += self._next_put.requests
        self._pending.clear()
        self._open_put = None
        self._next_put = None
        reply = NotLeader(leader=self.leader)
        return [Send(to=r.sender, call=r.call, body=reply) for r in requests]

    def _compact(self) -> list[Effect]:
        """Replace the log with a snapshot when it is long or large."""
        applied = self._replica.commit
        log_entries = applied - self._replica.log.base_index
        if log_entries < COMPACT_ENTRIES and self._log_bytes < COMPACT_BYTES:
            return []
        self._log_bytes = 0
        snapshot = PutDocument(version=self.version, content=self.content)
        rollouts = tuple(self.rollouts.records.values())
        if rollouts:
            snapshot = DocumentSnapshot(
                version=self.version, content=self.content, rollouts=rollouts
            )
        return self._replica.compact(applied, encode_message(snapshot))
