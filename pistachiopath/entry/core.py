"""Decision logic of an entry, without I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..claims.effects import Ask, Conclude, Deliver
from ..claims.flow import FlowState, RequestFlow
from ..effects import Send
from ..membership.follower import INTERVAL_MIN_S, FeedFollower
from ..messages.claims import ClaimReply
from ..messages.configuration import ConfigurationReply, ConfigurationRequest
from ..messages.dispatch import Accepted, Chunk, End, NotHeld, NotStarted
from ..messages.membership import View
from ..messages.replication import NotLeader
from ..replication.leader_client import LeaderClient
from ..routing.targets import LEASE_S, TargetTable

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ..claims.submission import Submission
    from ..messages.base import Message
    from ..routing.chooser import Chooser

AGENT_MESSAGES = (Accepted, Chunk, End, NotHeld, NotStarted)


@attrs.define(kw_only=True, frozen=True)
class CallerEffect:
    """An effect for the caller of a flow."""

    flow: int
    effect: Deliver | Conclude


@attrs.define(kw_only=True, frozen=True)
class ConfigurationInForce:
    """A newer configuration came into force."""

    revision: int
    content: bytes


class EntryCore:
    """Runs the flows of one entry and follows the targets and the configuration.

    Methods return effects; `now` is the entry's monotonic clock in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        controls: tuple[str, ...],
        rng: random.Random,
        make_chooser: Callable[[TargetTable, random.Random], Chooser],
    ) -> None:
        self.name = name
        self.revision = 0
        self.targets = TargetTable()
        self.leader = LeaderClient(addresses=controls, rng=rng)
        self._controls = controls
        self._chooser = make_chooser(self.targets, rng)
        self._flows: dict[int, RequestFlow] = {}
        self._flows_by_key: dict[bytes, set[int]] = {}
        self._flow_by_call: dict[int, int] = {}
        self._call_by_flow: dict[int, int] = {}
        self._last_number = 0
        self._view_source = rng.randrange(len(controls))
        self._view_interval_s = INTERVAL_MIN_S
        self._view_sent_at = -INTERVAL_MIN_S
        self._follower = FeedFollower(sources=controls)

    @property
    def in_flight(self) -> int:
        """Number of active flows."""
        return len(self._flows)

    def flow(self, number: int) -> RequestFlow | None:
        """Return an active flow, or None."""
        return self._flows.get(number)

    def submit(self, submission: Submission, now: float) -> tuple[int, list]:
        """Start a flow; return its number and effects."""
        number = self._next_number()
        flow = RequestFlow(submission=submission, chooser=self._chooser)
        self._flows[number] = flow
        self._flows_by_key.setdefault(submission.key, set()).add(number)
        return number, self._carry_out(number, flow.start(now), now)

    def caller_left(self, number: int, now: float) -> list:
        """End a flow whose caller disconnected.

        Its run is not cancelled while another flow has the same claim key.
        """
        flow = self._flows.get(number)
        if flow is None:
            return []
        effects = flow.caller_left()
        self._remove_flow(number)
        if flow.key in self._flows_by_key:
            return []
        return effects

    def receive(self, sender: str, call: int, body: Message, now: float) -> list:
        """Handle a message."""
        if isinstance(body, AGENT_MESSAGES):
            return self._on_agent_message(body, now)
        if isinstance(body, (ClaimReply, NotLeader)):
            return self._on_leader_reply(sender, call, body, now)
        if isinstance(body, View):
            return self._on_view(sender, body, now)
        if isinstance(body, ConfigurationReply) and body.revision > self.revision:
            self.revision = body.revision
            return [ConfigurationInForce(revision=body.revision, content=body.content)]
        return []

    def link_lost(self, address: str, now: float) -> list:
        """Resend what the lost link may not have delivered."""
        self.leader.link_lost(address, now)
        effects = []
        for number, flow in list(self._flows.items()):
            effects += self._carry_out(number, flow.link_lost(address, now), now)
        return effects

    def tick(self, now: float) -> list:
        """Run periodic work: resends, view requests and timers of flows."""
        effects = self.follow_view(now)
        for number in self.flow_numbers():
            effects += self.tick_flow(number, now)
        return effects

    def follow_view(self, now: float) -> list:
        """Resend calls to the leader and request the view when it is due."""
        return self.leader.tick(now) + self._poll_view(now)

    def flow_numbers(self) -> list[int]:
        """Return the numbers of the active flows."""
        return list(self._flows)

    def tick_flow(self, number: int, now: float) -> list:
        """Run the timers of a flow, if it is still active."""
        flow = self._flows.get(number)
        return self._carry_out(number, flow.tick(now), now) if flow else []

    def _on_agent_message(self, body: Message, now: float) -> list:
        effects = []
        for number in list(self._flows_by_key.get(body.key, ())):
            flow = self._flows[number]
            effects += self._carry_out(number, flow.on_agent(body, now), now)
        return effects

    def _on_leader_reply(
        self, sender: str, call: int, body: Message, now: float
    ) -> list:
        final, effects = self.leader.answered(sender, call, body, now)
        number = self._flow_by_call.pop(call, None) if final else None
        flow = self._flows.get(number)
        if flow is not None:
            self._call_by_flow.pop(number, None)
            effects += self._carry_out(number, flow.on_claim(body, now), now)
        return effects

    def _on_view(self, sender: str, view: View, now: float) -> list:
        self.targets.update(self._follower.apply(sender, view), now)
        self._view_interval_s = self._follower.interval_s(view)
        self.targets.lease_s = LEASE_S + self._view_interval_s - INTERVAL_MIN_S
        if view.revision <= self.revision:
            return []
        return [Send(to=sender, call=0, body=ConfigurationRequest())]

    def _poll_view(self, now: float) -> list:
        if now - self._view_sent_at < self._view_interval_s:
            return []
        # Each control replica collects heartbeats on its own.  Polling all of them
        # in turn makes up for one that some targets cannot reach.
        self._view_source = (self._view_source + 1) % len(self._controls)
        self._view_sent_at = now
        source = self._controls[self._view_source]
        request = self._follower.request(source, self.revision, self.name, now)
        return [Send(to=source, call=0, body=request)]

    def _carry_out(self, number: int, effects: list, now: float) -> list:
        out = []
        for effect in effects:
            if isinstance(effect, Ask):
                out += self._ask(number, effect.body, now)
            elif isinstance(effect, Send):
                out.append(effect)
            else:
                out.append(CallerEffect(flow=number, effect=effect))
        flow = self._flows.get(number)
        if flow is not None and flow.state is FlowState.DONE:
            self._remove_flow(number)
        return out

    def _ask(self, number: int, body: Message, now: float) -> list:
        self._remove_call(number)
        call = self._next_number()
        self._flow_by_call[call] = number
        self._call_by_flow[number] = call
        return self.leader.ask(call, body, now)

    def _remove_flow(self, number: int) -> None:
        flow = self._flows.pop(number)
        self._remove_call(number)
        numbers = self._flows_by_key[flow.key]
        numbers.discard(number)
        if not numbers:
            del self._flows_by_key[flow.key]

    def _remove_call(self, number: int) -> None:
        call = self._call_by_flow.pop(number, None)
        if call is not None:
            self._flow_by_call.pop(call, None)
            self.leader.forget(call)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number
