"""A small deployment of the product's cores in virtual time."""

from __future__ import annotations

import random

import attrs

from pistachiopath.claims.effects import Conclude, Deliver
from pistachiopath.claims.identity import claim_key
from pistachiopath.errors.outcomes import OutcomeKind
from pistachiopath.messages.claims import OutcomeRecord
from pistachiopath.messages.fencing import LoadedModel

from .calls import PARTS, Call, expected_answer
from .checkers import POISON, Checkers
from .chooser import ScenarioChooser
from .entry_node import EntryNode
from .network import VirtualNetwork
from .nodes import AgentNode, ControlNode
from .operators import Operator


@attrs.define(kw_only=True, eq=False)
class Stream:
    """An output stream of an engine; a run has a new one after each resume."""

    run: object


class World:
    """Simulates nodes, callers, operators and engines."""

    def __init__(
        self,
        *,
        seed: int,
        controls: int = 3,
        entries: int = 2,
        targets: int = 2,
        window: int = 2,
        snapshot_entries: int = 30,
        early_refusals: int = 1,
        chooser=ScenarioChooser,
    ):
        self.chooser = chooser
        self.early_refusals = bool(early_refusals)
        self.rng = random.Random(seed)
        self.net = VirtualNetwork(seed=seed + 1)
        self.checkers = Checkers(world=self)
        self.calls: list[Call] = []
        self.crashes: list[float] = []
        self._engine_streams: dict[str, dict[bytes, object]] = {}
        self._loaded_versions: dict[str, tuple[str, float]] = {}
        self._engine_down_until: dict[str, float] = {}
        addresses = tuple(f'c{n}' for n in range(controls))
        self.controls = {
            name: ControlNode(
                world=self,
                name=name,
                addresses=addresses,
                snapshot_entries=snapshot_entries,
            )
            for name in addresses
        }
        self.agents = {
            name: AgentNode(world=self, name=name, controls=addresses, window=window)
            for name in (f't{n}' for n in range(targets))
        }
        self.entries = {
            name: EntryNode(world=self, name=name, controls=addresses)
            for name in (f'e{n}' for n in range(entries))
        }
        self.nodes = self.controls | self.agents | self.entries
        self._operators = {
            name: Operator(world=self, name=name, controls=addresses)
            for name in ('o0', 'o1')
        }
        for node in self.nodes.values():
            node.start()

    def replace(self, control):
        """Kill a replica; also lose its disk if all other replicas are voters.

        If two disks of three were lost before a repair, the group would have no
        majority and would stop.  Separate scenarios cover that.
        """
        if control.alive:
            control.kill()
        others = [c for c in self.controls.values() if c is not control]
        if all(self._is_voter(other) for other in others):
            control.lose_disk()

    def _is_voter(self, control) -> bool:
        newest = max(self.controls.values(), key=lambda c: c.core.group.replica.commit)
        member = control.disk.load().member
        log = newest.core.group.replica.log
        committed = log.members(newest.core.group.replica.commit)
        return any(m.voter and m.member == member for m in committed)

    def has_majority(self) -> bool:
        """Tell whether a live control replica is a settled leader."""
        return any(
            c.core.group.replica.is_settled for c in self.controls.values() if c.alive
        )

    # Messages

    def send(self, sender: str, effect):
        node = self.nodes.get(effect.to) or self._operators.get(effect.to)
        if node is not None:
            self.net.send(
                sender,
                effect.to,
                lambda: node.deliver(sender, effect.call, effect.body),
            )

    def link_lost(self, name: str):
        for entry in self.entries.values():
            entry.run_or_defer(lambda entry=entry: entry.peer_lost(name))
        for agent in self.agents.values():
            agent.run_or_defer(
                lambda agent=agent: agent.core.link_lost(name, agent.now)
            )

    # Callers

    def submit(self, request: str, entry: str, **details):
        details = {'tier': 0, 'once': False, 'deadline_s': 20.0} | details
        details.setdefault('content', request.encode())
        call = Call(
            request=request,
            entry=entry,
            attempt=self.rng.randbytes(8),
            **details,
        )
        self.calls.append(call)
        self.checkers.submitted(call.key)
        node = self.entries[entry]
        if node.draining:
            # The balancer sends the caller to another entry.
            call.outcome = 'turned_away'
        elif node.alive:
            node.run_or_defer(lambda: node.submit(call))
        else:
            self.break_connection(call)

    def to_caller(self, call: Call, effect) -> bool:
        """Apply an effect to a call; tell whether the call has ended."""
        if isinstance(effect, Deliver):
            call.data += effect.data
            return False
        if isinstance(effect, Conclude):
            call.outcome = effect.outcome
            self.checkers.concluded(call, effect.outcome)
        return True

    def break_connection(self, call: Call):
        call.outcome = 'broken'

    # Engines

    def engine_start(self, agent, run):
        name = agent.name
        if self._engine_down_until.get(name, -1.0) > self.net.now:
            self._schedule_engine_call(agent, agent.core.gate.engine_refused, run, 200)
            return
        if not run.resumable:
            self.checkers.run_started(agent, run.key)
        run.resumable = self.rng.random() < 0.8
        stream = Stream(run=run)
        self._engine_streams.setdefault(name, {})[run.key] = stream
        if POISON in run.work.body:
            self.net.at(self.net.now + 0.3, lambda: self._engine_crash(agent))
        self._produce(agent, stream, len(run.answer))

    def engine_stop(self, agent, run):
        self._engine_streams.get(agent.name, {}).pop(run.key, None)

    def _schedule_engine_call(self, agent, method, *args):
        self.net.at(
            self.net.now + 0.01,
            lambda: agent.run_or_defer(lambda: agent.from_engine(method, *args)),
        )

    def _produce(self, agent, stream, offset: int):
        run = stream.run
        generation = agent._generation
        answer = expected_answer(run.work.body)
        part_size = len(answer) // PARTS

        def step():
            current = self._engine_streams.get(agent.name, {}).get(run.key)
            if (
                agent._generation != generation
                or current is not stream
                or not agent.alive
            ):
                return
            gate = agent.core.gate
            data = answer[offset : offset + part_size]
            if data:
                agent.from_engine(gate.engine_data, run, 200, 'text', data)
                self._produce(agent, stream, offset + len(data))
                return
            del self._engine_streams[agent.name][run.key]
            outcome = OutcomeRecord(
                kind=OutcomeKind.COMPLETED, status=200, content_type='text'
            )
            agent.from_engine(gate.engine_end, run, outcome)

        self.net.at(
            self.net.now + self.rng.uniform(0.05, 0.4), lambda: agent.run_or_defer(step)
        )

    def _engine_crash(self, agent):
        streams = self._engine_streams.pop(agent.name, {})
        runs = {key: stream.run for key, stream in streams.items()}
        if not any(POISON in run.work.body for run in runs.values()):
            self._engine_streams[agent.name] = streams
            return
        self.crashes.append(self.net.now)
        self.checkers.engine_crashed(self.crashes)
        self._engine_down_until[agent.name] = self.net.now + 2.0

        def report():
            for run in runs.values():
                agent.engine_crashed(run)
            failed = OutcomeRecord(kind=OutcomeKind.FAILED, reason='engine_lost')
            for run in runs.values():
                agent.from_engine(agent.core.gate.engine_end, run, failed)

        agent.run_or_defer(report)

    def loaded_model(self, agent) -> LoadedModel:
        version, ready_at = self._loaded_versions.get(agent.name, ('', 0.0))
        return LoadedModel(
            model='m',
            version=version,
            adapters=(),
            ready=self.net.now >= ready_at,
        )

    def engine_order(self, agent, order):
        """Execute an order; the engine does not check fences, only its agent does."""
        self.checkers.ordered(agent, order)
        self._loaded_versions[agent.name] = (order.version, self.net.now + 1.5)

    # Operators

    def accept(self, operator: str, expected: int, content: str):
        self._operators[operator].accept(expected, content.encode())

    def operator(self, name: str) -> Operator:
        return self._operators[name]

    def runs_of(self, request: str) -> int:
        return len(self.checkers.runs[claim_key('c', request)])
