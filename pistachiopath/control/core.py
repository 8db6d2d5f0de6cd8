"""Decision logic of a control replica, without any I/O."""

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
    """Manages the replicated state, its log and the registry of targets.

    The caller must carry out and sync the storage effects before it sends the
    messages that were returned with them.  It must then call `synced` and
    handle the effects of that call.  `now` is in seconds.
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
        # The feed id has to change when the process of this replica restarts.
        feed_seed = f'{persisted.member} {now!r}'.encode()
        self.registry = Registry(feed_id=xxhash.xxh32_intdigest(feed_seed))
        self.group = Group(
            address=address,
            addresses=addresses,
            persisted=persisted,
            rng=rng,
            now=now,
            timing=timing or Timing(),
        )
        self._replica = self.group.replica
        self._pending_proposals: dict[int, Proposal] = {}
        self._applied = self._replica.commit
        self._compaction = Compaction(
            replica=self._replica,
            min_entries=snapshot_entries,
            step_claims=snapshot_step,
        )
        self._retirement = Retirement(registry=self.registry, now=now)
        self._revisions: dict[str, int] = {}
        self._read_placements = read_placements
        self._order_giver = OrderGiver(now=now)
        self._now = now
        self._refusal_ages = RefusalAges()
        self._handle(self._replica.restored())

    @property
    def is_serving(self) -> bool:
        """Return whether this replica answers requests about its state."""
        return self._replica.is_caught_up

    def tick(self, now: float, time_ms: int) -> list[Effect]:
        """Run periodic work: replication, retirement, orders and compaction."""
        self._now = now
        effects = self.group.tick(now, time_ms)
        if self._replica.is_settled:
            records = self.state.targets.values()
            for cmd in self._retirement.due(records, self._replica.led_since, now):
                effects += self._on_command('', 0, cmd, now, time_ms)
        effects += self._reconcile(now, time_ms)
        self.registry.prune(now)
        remaining = self._handle(effects)
        return remaining + self._compaction.step(self.state, self._applied)

    def flush(self, now: float) -> list[Effect]:
        """Send the records proposed since the last flush to the followers."""
        self._now = now
        return self._handle(self._replica.flush(now))

    def synced(self, now: float) -> list[Effect]:
        """Record that all storage effects so far are durable."""
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
        reply = self._reply_to(sender, body, now)
        return [Send(to=sender, call=call, body=reply)] if reply else []

    def _reply_to(self, sender: str, body: Message, now: float) -> Message | None:
        if isinstance(body, StatusRequest):
            return Status(document=json.dumps(self.describe(now)))
        if not self._replica.is_caught_up:
            # After a restart the state may lack records that were committed.
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
        """Return the status document for operators, as plain data."""
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
        self._pending_proposals[index] = Proposal(
            sender=sender, call=call, term=self._replica.term, cmd=cmd
        )
        return effects

    def _on_heartbeat(
        self, sender: str, report: Heartbeat, now: float
    ) -> HeartbeatAck | None:
        record = self.state.targets.get(report.target)
        if record is None or record.incarnation != report.incarnation:
            # This replica may be behind, so it must not revoke the lease.
            return None
        if record.retired:
            return HeartbeatAck(sequence=report.sequence, lease_ms=0, revision=0)
        self.registry.record_heartbeat(sender, report, now)
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
        """Issue orders with the fencing number of this leadership."""
        if not self._replica.is_settled:
            self._order_giver.reset()
            return []
        if self._order_giver.needs_fence:
            effects = self._on_command('', 0, IssueFence(), now, time_ms)
            self._order_giver.set_fence(self._replica.log.last_index)
            return effects
        if not self._order_giver.is_due(self._applied, now):
            return []
        reports = [view.report for view in self.registry.live(now)]
        placements = self._read_placements(self.state.configuration)
        return [
            Send(to=self.registry.sender_of(o.target), call=0, body=o.order)
            for o in self._order_giver.orders(placements, reports, now)
        ]

    def _handle(self, effects: list[Effect]) -> list[Effect]:
        """Apply committed records and return the effects that the shell handles."""
        remaining: list[Effect] = []
        for effect in effects:
            match effect:
                case Apply(entry=entry):
                    remaining += self._apply(entry)
                case RestoreState():
                    self._compaction.abandon()
                    self.state = unpack_state(effect.data)
                    self._applied = effect.index
                case _:
                    remaining.append(effect)
        if not self._replica.is_leader and self._pending_proposals:
            remaining += self._reject_pending()
        return remaining

    def _apply(self, entry: Entry) -> list[Effect]:
        self._applied = entry.index
        proposal = self._pop_proposal(entry)
        reply: Message = Done()
        if entry.kind == EntryKind.COMMAND:
            cmd = proposal.cmd if proposal else decode_message(entry.command)
            reply = self.state.apply(entry.index, entry.time_ms, cmd)
            reply = self._refusal_ages.with_age(reply, self._now)
        if (
            proposal is None
            or not proposal.sender
            or proposal.term != self._replica.term
        ):
            return []
        return [Send(to=proposal.sender, call=proposal.call, body=reply)]

    def _pop_proposal(self, entry: Entry) -> Proposal | None:
        """Return this replica's proposal of a committed record, or None.

        The record at the index of a proposal may be another leader's, so the
        terms have to match.
        """
        proposal = self._pending_proposals.pop(entry.index, None)
        if proposal is None or proposal.term != entry.term:
            return None
        return proposal

    def _reject_pending(self) -> list[Effect]:
        """Reply to all pending proposals that this replica isn't the leader.

        The commands may still be committed.  A sender may repeat its command to
        the new leader, because commands are idempotent.
        """
        reply = NotLeader(leader=self._replica.leader)
        pending = [p for p in self._pending_proposals.values() if p.sender]
        self._pending_proposals.clear()
        return [Send(to=p.sender, call=p.call, body=reply) for p in pending]
