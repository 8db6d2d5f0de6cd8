"""Shell of a control node: the document's replica and announcements."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ..admission.allowance_lender import AllowanceLender
from ..control.replica_loop import ReplicaLoop
from ..directory.announcer import Announcer
from ..messages.allowance import Borrow, UseReport
from ..messages.directory import Announcements, Follow, News
from ..messages.document import DocumentReply, PutReply
from ..messages.grants import WatchLoad
from ..messages.quarantine import CrashMarks
from ..messages.replication import NotLeader
from ..messages.rollout_orders import RolloutReply
from ..messages.rollout_totals import RolloutTotals
from ..messages.streams import StreamOrigins
from ..quarantine.crash_watch import CrashWatch
from ..replication.group import Group
from ..transport.handshake import ROLE_NODE, Identity
from ..transport.network import Network
from ..util.loop_part import LoopPart
from ..util.periodic_loop import PeriodicLoop
from ..util.turn_clock import TurnClock
from .client import DocumentClient
from .core import DocumentCore
from .lending import Lending
from .noted_streams import NotedStreams
from .operator_requests import OperatorRequests
from .packing import unpack
from .peers import ControlPeers
from .process_witnesses import ProcessWitnesses
from .rollout_control import RolloutControl
from .saved_replicas import SavedReplicas
from .timing import DOCUMENT_TIMING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..messages.base import Message
    from ..messages.directory import ReplicaRecord
    from ..messages.streams import ProcessNotes
    from ..routes.customer_account import CustomerAccount
    from ..storage.data_folder import DataFolder
    from ..storage.memory_folder import MemoryFolder
    from ..storage.no_record_file import NoRecordFile
    from ..storage.record_file import RecordFile
    from ..telemetry.metrics import Metrics
    from ..util.loop_failures import LoopFailures
    from .settings import DocumentSettings

TICK_INTERVAL_S = 0.05
LINK_SILENCE_S = 1.0


class DocumentShell:
    """Connects the replica, the announcer and the links of a control node.

    `open_folder` opens the replica's data folder, and `replicas` is the file that
    keeps replica records across restarts.  `customers` reads the customers'
    accounts from a document.
    """

    def __init__(
        self,
        *,
        cfg: DocumentSettings,
        open_folder: Callable[[], DataFolder | MemoryFolder],
        replicas: RecordFile | NoRecordFile,
        customers: Callable[[bytes], tuple[CustomerAccount, ...]],
        rng: random.Random,
        secret: bytes,
        failures: LoopFailures,
        metrics: Metrics | None = None,
    ) -> None:
        now = time.monotonic()
        self._cfg = cfg
        self._rng = rng
        self._open_folder = open_folder
        self._seeds = cfg.seeds
        self._network = Network(
            identity=Identity(
                name=cfg.node_address, role=ROLE_NODE, secrets={ROLE_NODE: secret}
            ),
            on_message=self._on_message,
            on_lost=self._on_link_lost,
            silence_s=LINK_SILENCE_S,
            failures=failures,
        )
        self._forms = cfg.forms
        self.core, folder = self._open()
        self._loop = ReplicaLoop(
            core=self.core,
            folder=folder,
            network=self._network,
            failures=failures,
            reopen=self._reopen,
        )
        self.announcer = Announcer(
            address=cfg.node_address,
            feed=rng.getrandbits(31) + 1,
            silent_after_s=cfg.silent_after_s,
            now=now,
            is_first_start=cfg.forms,
        )
        self._customers = customers
        self._lender = AllowanceLender(
            session=rng.getrandbits(31) + 1,
            overage=cfg.allowance_overage,
            slack_tokens=cfg.allowance_slack_tokens,
        )
        self._lending = Lending(
            lender=self._lender,
            crashes=CrashWatch(),
            controls=lambda: self.announcer.controls(time.monotonic())[1:],
        )
        self._turns = TurnClock()
        self._witnesses = ProcessWitnesses(
            may_have_come_at=self._turns.may_have_come_at
        )
        self.noted_streams = NotedStreams(span=self._witnesses.span)
        self._replicas = SavedReplicas(file=replicas, announcer=self.announcer)
        self._replicas.load(now)
        self._peers = ControlPeers(
            address=cfg.node_address,
            announcer=self.announcer,
            seeds=cfg.seeds,
            now=now,
        )
        self.requests = OperatorRequests(
            client=DocumentClient(leader=lambda: self.core.leader),
            announcer=self.announcer,
            send_all=self._network.send_all,
        )
        self._rollouts = RolloutControl(
            bounds=cfg.rollouts,
            core=lambda: self.core,
            announcer=self.announcer,
            propose=lambda change: self._loop.post(cfg.node_address, 0, change),
            metrics=metrics,
        )
        self._metrics = metrics
        self._adopted_version = 0
        self._timers = PeriodicLoop(
            name='control_timers',
            interval_s=TICK_INTERVAL_S,
            parts=[
                LoopPart(name='turns', run=self._turns.turn),
                LoopPart(name='peers', run=self._follow_peers),
                LoopPart(name='calls', run=self.requests.resend),
                LoopPart(name='customers', run=self._adopt_customers),
                LoopPart(name='publish', run=self._publish_committed),
                LoopPart(name='prune', run=self.announcer.prune),
                LoopPart(name='entries', run=self._count_entries),
                LoopPart(name='leases', run=self._send_leases),
                LoopPart(name='reports', run=self._report_to_lenders),
                LoopPart(name='marks', run=self._resend_marks),
                LoopPart(name='replicas', run=self._replicas.save),
                LoopPart(name='rollouts', run=self._direct_rollouts),
                LoopPart(name='group', run=self._measure_group),
                LoopPart(name='witnesses', run=self._witnesses.prune),
            ],
            failures=failures,
        )

    def _open(self) -> tuple[DocumentCore, DataFolder | MemoryFolder]:
        """Open the folder and return a core with its state.

        Raises `StorageFailed` or `CorruptFile` if the folder cannot be read.
        """
        folder = self._open_folder()
        cfg = self._cfg
        group = Group(
            address=cfg.node_address,
            addresses=cfg.seeds,
            persisted=folder.load(),
            rng=self._rng,
            now=time.monotonic(),
            timing=DOCUMENT_TIMING,
            forms=self._forms,
            voters=2 * cfg.tolerated_losses + 1,
            diskless=cfg.diskless,
        )
        group.set_addresses(self._seeds)
        self.core = DocumentCore(group=group, rollouts=cfg.rollouts)
        return self.core, folder

    def _reopen(self) -> tuple[DocumentCore, DataFolder | MemoryFolder]:
        """Open the folder again; one that held a log must not form a group blank."""
        self._forms = self._forms and self.core.group.is_blank
        return self._open()

    def start(self) -> None:
        """Listen for links and start the replica and the timers."""
        self._network.listen(self._cfg.listen_address or self._cfg.node_address)
        self._loop.start()
        self._timers.start()

    def stop(self) -> None:
        """Close the links after a short drain and stop the replica."""
        self._network.close(drain_s=0.1)
        self._timers.stop()
        self._loop.stop()
        self._witnesses.close()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seed addresses of the control nodes."""
        self._seeds = seeds
        self.core.group.set_addresses(seeds)
        self._peers.set_seeds(seeds, time.monotonic())

    # Announcements of replicas

    def announce(self, record: ReplicaRecord) -> None:
        """Merge a replica's announcement and forward it."""
        now = time.monotonic()
        sent_after = self._turns.may_have_come_at(now)
        effects = self.announcer.announce(record, now, sent_after=sent_after)
        self._network.send_all(effects)

    def depart(self, replica: str, *, born_ms: int = 0) -> None:
        """Mark a replica as departed and forward the change.

        `born_ms` is the start of the lifetime that ends, 0 if it is not known.
        """
        now = time.monotonic()
        sent_after = self._turns.may_have_come_at(now)
        effects = self.announcer.depart(
            replica, now, born_ms=born_ms, sent_after=sent_after
        )
        self._network.send_all(effects)

    # Messages and timers

    def _on_message(self, sender: str, call: int, body: Message) -> None:
        now = time.monotonic()
        match body:
            case Follow():
                effects = self._peers.on_follow(sender, body, now, call=call)
                self._network.send_all(effects)
            case Announcements():
                self._network.send_all(self.announcer.merge_announcements(body, now))
            case UseReport():
                self._network.send_all(self._lending.on_use_report(sender, body, now))
            case Borrow():
                self._network.send_all([self._lending.borrow(sender, call, body, now)])
            case CrashMarks():
                self._network.send_all(self._lending.on_crash_marks(sender, body, now))
            case WatchLoad():
                self._handle_streams(sender, call, body, now)
            case News():
                self._network.send_all(self._peers.on_news(sender, body, now))
            case RolloutTotals():
                self._network.send_all(self._rollouts.on_totals(sender, body, now))
            case PutReply() | DocumentReply() | RolloutReply() | NotLeader():
                self.requests.handle_reply(call, body, now)
            case _:
                self._loop.post(sender, call, body)

    def _handle_streams(
        self, sender: str, call: int, body: WatchLoad, now: float
    ) -> None:
        """Note streams of an entry, or tell it their origins."""
        self.noted_streams.note(body.notes, now)
        if body.processes:
            self._handle_processes(sender, call, body.processes, now)
        if body.streams:
            found = self.noted_streams.find(body.streams, now)
            self._network.send(sender, call, found)

    def _handle_processes(
        self, sender: str, call: int, notes: tuple[ProcessNotes, ...], now: float
    ) -> None:
        """Note streams of known processes, and witness the others."""
        known = [note for note in notes if note.witness]
        for note in known:
            self._witnesses.keep(note.witness, now)
        self.noted_streams.note_processes(known, now)
        self._witnesses.ask(
            [note for note in notes if not note.witness],
            lambda witnessed: self._network.send(
                sender, call, StreamOrigins(origins=(), witnessed=witnessed)
            ),
        )

    def _follow_peers(self, now: float) -> None:
        self._network.send_all(self._peers.tick(now))
        self.core.group.set_contacts(self._peers.contacts())
        self.announcer.set_members(self.core.group.others())

    def _adopt_customers(self, now: float) -> None:
        """Lend by a committed document's accounts.

        A document whose accounts can't be read is tried once: it stays the same.
        """
        core = self.core
        if core.version <= self._adopted_version:
            return
        self._adopted_version = core.version
        self._lender.adopt(self._customers(unpack(core.content)), now)

    def _publish_committed(self, now: float) -> None:
        core = self.core
        if core.version > self.announcer.version:
            self._network.send_all(
                self.announcer.publish(core.version, core.content, now)
            )

    def _count_entries(self, now: float) -> None:
        self._lender.set_known_entries(self.announcer.entries(now))

    def _send_leases(self, now: float) -> None:
        self._network.send_all(self._lending.send_leases(now))

    def _report_to_lenders(self, now: float) -> None:
        self._network.send_all(self._lending.report(now))

    def _resend_marks(self, now: float) -> None:
        self._network.send_all(self._lending.resend_marks(now))

    def _direct_rollouts(self, now: float) -> None:
        self._network.send_all(self._rollouts.tick(now))

    def _measure_group(self, now: float) -> None:
        """Set the metrics of the replicas' group, as this node knows it."""
        if self._metrics is None:
            return
        group = self.core.group
        self._metrics.set('group_search_s', round(group.searching_s(now), 3))
        self._metrics.set('group_members', len(group.replica.members))
        self._metrics.set('group_voters_heard', group.heard_voters(now))

    def _on_link_lost(self, peer: str) -> None:
        self._lending.link_lost(peer)
        self.announcer.link_lost(peer)
        self.requests.handle_lost(peer)
