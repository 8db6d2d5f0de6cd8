"""Decisions of a control replica, without any I/O."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import xxhash

from ..configuration.configuration import placements_of
from ..effects import Send
from ..messages.claims import Done
from ..messages.configuration import ConfigurationReply, ConfigurationRequest
from ..messages.fencing import IssueFence
from ..messages.membership import (
    Heartbeat,
    HeartbeatAck,
    View,
    ViewRequest,
)
from ..messages.replication import GROUP_MESSAGES, NotLeader
from ..messages.status import Status, StatusRequest
from ..replication.effects import Apply, RestoreState
from ..replication.entry_kind import EntryKind
from ..replication.group import Group
from ..replication.timing import Timing
from ..transport.codec import decode_message, encode_message
from .compaction import MIN_ENTRIES, STEP_CLAIMS, Compaction
from .order_giver import OrderGiver
from .proposal import Proposal
from .refusal_ages import RefusalAges
from .registry import LEASE_S, Registry
from .replicated_state import COMMANDS, ReplicatedState
from .retirement import Retirement
from .snapshot import unpack_state
from .status import replica_document, target_document

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..configuration.configuration import ModelPlacement
    from ..messages.base import Message
    from ..messages.replication import Entry
    from ..replication.effects import Effect
    from ..replication.persisted import Persisted


class ControlCore:
    """Replicated state, its log and the registry of targets.

    Storage effects must be carried out and synced before the sends that
    came with them; then `synced` must be called and its effects handled.
    """

    def __init__(
        self,
        *,
        address: str,
        addresses: tuple[str, ...],
        persisted: Persisted,
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
        snapshot_entries: int = MIN_ENTRIES,
        snapshot_step: int = STEP_CLAIMS,
        read_placements: Callable[[bytes], tuple[ModelPlacement, ...]] = placements_of,
    ) -> None:
        self.address = address
        self.state = ReplicatedState()
        # Another process of this replica has another feed.
        start = f'{persisted.member} {now!r}'.encode()
        self.registry = Registry(feed_id=xxhash.xxh32_intdigest(start))
        self.group = Group(
            address=address,
            addresses=addresses,
            persisted=persisted,
            rng=rng,
            now=now,
            timing=timing or Timing(),
        )
        self._replica = self.group.replica
        self._waiting: dict[int, Proposal] = {}
        self._applied = self._replica.commit
        self._compaction = Compaction(
            replica=self._replica,
            min_entries=snapshot_entries,
            step_claims=snapshot_step,
        )
        self._retirement = Retirement(registry=self.registry, now=now)
        self._revisions: dict[str, int] = {}
        self._read_placements = read_placements
        self._orders = OrderGiver(now=now)
        self._now = now
        self._refusals = RefusalAges()
        self._handle(self._replica.restored())

    @property
    def is_serving(self) -> bool:
        """Tell whether this replica answers questions about its state."""
        return self._replica.is_caught_up

    def tick(self, now: float, time_ms: int) -> list[Effect]:
        """Let time pass."""
        self._now = now
        effects = self.group.tick(now, time_ms)
        if self._replica.is_settled:
            records = self.state.targets.values()
            for cmd in self._retirement.due(records, self._replica.led_since, now):
                effects += self._on_command('', 0, cmd, now, time_ms)
        effects += self._reconcile(now, time_ms)
        self.registry.prune(now)
        left = self._handle(effects)
        return left + self._compaction.step(self.state, self._applied)

    def flush(self, now: float) -> list[Effect]:
        """Send to the followers what was proposed since the last flush."""
        self._now = now
        return self._handle(self._replica.flush(now))

    def synced(self, now: float) -> list[Effect]:
        """Take note that all storage effects so far are durable."""
        self._now = now
        return self._handle(self._replica.synced(now))

    def receive(
        self, sender: str, call: int, body: Message, now: float, time_ms: int
    ) -> list[Effect]:
        """Handle a message from any process."""
        self._now = now
        if isinstance(body, GROUP_MESSAGES):
            effects = self.group.receive(sender, body, now, time_ms)
            return self._handle(effects)
        if isinstance(body, COMMANDS):
            return self._on_command(sender, call, body, now, time_ms)
        reply = self._answer(sender, body, now)
        return [Send(to=sender, call=call, body=reply)] if reply else []

    def _answer(self, sender: str, body: Message, now: float) -> Message | None:
        if isinstance(body, StatusRequest):
            return Status(document=json.dumps(self.describe(now)))
        if not self._replica.is_caught_up:
            # After a restart the state may be older than what was in force.
            return None
        match body:
            case Heartbeat():
                return self._on_heartbeat(sender, body, now)
            case ViewRequest():
                return self._on_view(body, now)
            case ConfigurationRequest():
                return ConfigurationReply(
                    revision=self.state.revision, content=self.state.configuration
                )
        return None

    def describe(self, now: float) -> dict[str, object]:
        """Return what operators see, as plain data."""
        return replica_document(self._replica) | {
            'revision': self.state.revision,
            'claims': len(self.state.claims),
            'targets': [target_document(view) for view in self.registry.live(now)],
            'revisions': dict(self._revisions),
        }

    def _on_command(
        self, sender: str, call: int, cmd: Message, now: float, time_ms: int
    ) -> list[Effect]:
        if not self._replica.is_leader:
            reply = NotLeader(leader=self._replica.leader)
            return [Send(to=sender, call=call, body=reply)]
        index, effects = self._replica.propose(
            EntryKind.COMMAND, now, time_ms, command=encode_message(cmd)
        )
        self._waiting[index] = Proposal(
            sender=sender, call=call, term=self._replica.term, cmd=cmd
        )
        return effects

    def _on_heartbeat(
        self, sender: str, report: Heartbeat, now: float
    ) -> HeartbeatAck | None:
        record = self.state.targets.get(report.target)
        if record is None or record.incarnation != report.incarnation:
            # A replica that is behind must not take the lease away.
            return None
        if record.retired:
            return HeartbeatAck(sequence=report.sequence, lease_ms=0, revision=0)
        self.registry.heard(sender, report, now)
        self._revisions[sender] = report.revision
        return HeartbeatAck(
            sequence=report.sequence,
            lease_ms=int(LEASE_S * 1000),
            revision=self.state.revision,
            quarantined=self.state.quarantined_claims(report.target),
        )

    def _on_view(self, request: ViewRequest, now: float) -> View:
        self._revisions[request.entry] = request.revision
        return self.registry.feed.view(request, self.state.revision, now)

    def _reconcile(self, now: float, time_ms: int) -> list[Effect]:
        """Give orders under a fencing number of this leadership."""
        if not self._replica.is_settled:
            self._orders.reset()
            return []
        if self._orders.needs_fence:
            effects = self._on_command('', 0, IssueFence(), now, time_ms)
            self._orders.took(self._replica.log.last_index)
            return effects
        if not self._orders.is_due(self._applied, now):
            return []
        reports = [view.report for view in self.registry.live(now)]
        placements = self._read_placements(self.state.configuration)
        return [
            Send(to=self.registry.sender_of(o.target), call=0, body=o.order)
            for o in self._orders.orders(placements, reports, now)
        ]

    def _handle(self, effects: list[Effect]) -> list[Effect]:
        """Apply committed records; return the effects left for the shell."""
        left: list[Effect] = []
        for effect in effects:
            match effect:
                case Apply(entry=entry):
                    left += self._apply(entry)
                case RestoreState():
                    self._compaction.abandon()
                    self.state = unpack_state(effect.data)
                    self._applied = effect.index
                case _:
                    left.append(effect)
        if not self._replica.is_leader and self._waiting:
            left += self._reject_waiting()
        return left

    def _apply(self, entry: Entry) -> list[Effect]:
        self._applied = entry.index
        own = self._take_proposal(entry)
        reply: Message = Done()
        if entry.kind == EntryKind.COMMAND:
            cmd = own.cmd if own else decode_message(entry.command)
            reply = self.state.apply(entry.index, entry.time_ms, cmd)
            reply = self._refusals.dated(reply, self._now)
        if own is None or not own.sender or own.term != self._replica.term:
            return []
        return [Send(to=own.sender, call=own.call, body=reply)]

    def _take_proposal(self, entry: Entry) -> Proposal | None:
        """Return what this replica proposed as a record, if it is that one.

        Another leader's record may have taken its place in the log.
        """
        proposal = self._waiting.pop(entry.index, None)
        if proposal is None or proposal.term != entry.term:
            return None
        return proposal

    def _reject_waiting(self) -> list[Effect]:
        """Tell those who wait that another replica has to be asked.

        Their commands may still be committed: commands are idempotent.
        """
        reply = NotLeader(leader=self._replica.leader)
        waiting = [p for p in self._waiting.values() if p.sender]
        self._waiting.clear()
        return [Send(to=p.sender, call=p.call, body=reply) for p in waiting]
