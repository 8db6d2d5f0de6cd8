"""Decision logic of a control node for the configuration document."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.document import DocumentReply, PutDocument, PutReply, ReadDocument
from ..messages.replication import GROUP_MESSAGES, NotLeader
from ..replication.effects import Apply, RestoreState
from ..replication.entry_kind import EntryKind
from ..transport.codec import decode_message, encode_message

if TYPE_CHECKING:
    from ..messages.base import Message
    from ..messages.replication import Entry
    from ..replication.effects import Effect
    from ..replication.group import Group

COMPACT_ENTRIES = 400
COMPACT_BYTES = 4 * 1024 * 1024


@attrs.define(kw_only=True, frozen=True)
class _PendingRequest:
    """A request that waits for its record to commit.

    `term` is the term in which the record was proposed.
    """

    sender: str
    call: int
    term: int
    is_read: bool


class DocumentCore:
    """Keeps the document of the highest version on a replicated log.

    A put gets its reply when its record is committed.  A read gets its reply
    when a record proposed for it is committed, so it reflects every put that was
    acknowledged before the read was sent.  This does not depend on the leader's
    clock.

    The storage effects must be carried out and synced before the sends returned
    with them.  Then `synced` must be called and its effects handled.
    """

    def __init__(self, *, group: Group) -> None:
        self.group = group
        self.version = 0
        self.content = b''
        self._replica = group.replica
        self._pending: dict[int, _PendingRequest] = {}
        self._log_bytes = 0
        self._handle(self._replica.restored())

    @property
    def leader(self) -> str:
        """Address of the presumed leader, or an empty string."""
        return self._replica.leader

    def tick(self, now: float, time_ms: int) -> list[Effect]:
        """Run the timers of the group and compact a long log."""
        return self._handle(self.group.tick(now, time_ms)) + self._compact()

    def flush(self, now: float) -> list[Effect]:
        """Send the records proposed since the last flush to the followers."""
        return self._handle(self._replica.flush(now))

    def synced(self, now: float) -> list[Effect]:
        """Record that all storage effects so far are durable."""
        return self._handle(self._replica.synced(now))

    def receive(
        self, sender: str, call: int, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        """Handle a message of the replication protocol, a put or a read."""
        if isinstance(body, GROUP_MESSAGES):
            return self._handle(self.group.receive(sender, body, now, time_ms))
        if isinstance(body, (PutDocument, ReadDocument)):
            return self._propose(sender, call, body, now, time_ms)
        return []

    def _propose(
        self, sender: str, call: int, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        if not self._replica.is_leader:
            return [Send(to=sender, call=call, body=NotLeader(leader=self.leader))]
        is_read = isinstance(body, ReadDocument)
        if is_read:
            kind, command = EntryKind.NOOP, b''
        else:
            kind, command = EntryKind.COMMAND, encode_message(body)
        index, effects = self._replica.propose(kind, now, time_ms, command=command)
        self._pending[index] = _PendingRequest(
            sender=sender, call=call, term=self._replica.term, is_read=is_read
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
        if not self._replica.is_leader and self._pending:
            remaining += self._redirect_pending()
        return remaining

    def _restore(self, data: bytes) -> None:
        snapshot = decode_message(data)
        self.version = snapshot.version
        self.content = snapshot.content
        self._log_bytes = 0

    def _apply(self, entry: Entry) -> list[Effect]:
        self._log_bytes += len(entry.command)
        if entry.kind == EntryKind.COMMAND:
            put = decode_message(entry.command)
            if put.version > self.version:
                self.version = put.version
                self.content = put.content
        request = self._pending.pop(entry.index, None)
        if request is None or request.term != entry.term:
            return []
        if request.is_read:
            body = DocumentReply(version=self.version, content=self.content)
        else:
            body = PutReply(version=self.version)
        return [Send(to=request.sender, call=request.call, body=body)]

    def _redirect_pending(self) -> list[Effect]:
        """Redirect pending requests to the leader, if known; puts are idempotent."""
        reply = NotLeader(leader=self.leader)
        pending = list(self._pending.values())
        self._pending.clear()
        return [Send(to=r.sender, call=r.call, body=reply) for r in pending]

    def _compact(self) -> list[Effect]:
        """Replace the log with a snapshot when it is long or large."""
        applied = self._replica.commit
        log_entries = applied - self._replica.log.base_index
        if log_entries < COMPACT_ENTRIES and self._log_bytes < COMPACT_BYTES:
            return []
        self._log_bytes = 0
        snapshot = PutDocument(version=self.version, content=self.content)
        return self._replica.compact(applied, encode_message(snapshot))
