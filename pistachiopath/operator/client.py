"""Client of the control replicas for the operators' commands."""

from __future__ import annotations

import json
import random
import time
from typing import TYPE_CHECKING

import gevent
import gevent.event

from ..effects import Send
from ..errors.operator import ControlUnavailable
from ..messages.configuration import Accept, ConfigurationRequest
from ..messages.status import Status, StatusRequest
from ..replication.leader_client import LeaderClient
from ..telemetry.metrics import Metrics
from ..transport.handshake import ROLE_OPERATOR, Identity
from ..transport.network import Network
from ..util.loop_failures import LoopFailures

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.base import Message
    from ..messages.configuration import AcceptReply, ConfigurationReply
    from .settings import OperatorSettings

TICK_INTERVAL_S = 0.05
REPLY_TIMEOUT_S = 1.0


class OperatorClient:
    """Makes blocking calls to the control replicas.

    Each call raises `ControlUnavailable` if there is no reply within the
    `timeout_s` of the settings.
    """

    def __init__(self, *, cfg: OperatorSettings) -> None:
        self._cfg = cfg
        self._rng = random.SystemRandom()
        self._network = Network(
            identity=Identity(
                name=f'{cfg.name}-{self._rng.getrandbits(64):016x}',
                role=ROLE_OPERATOR,
                secrets={ROLE_OPERATOR: cfg.operator_secret.encode()},
            ),
            on_message=self._on_message,
            on_lost=lambda peer: None,
            failures=LoopFailures(metrics=Metrics()),
        )
        self._leader = LeaderClient(addresses=cfg.controls, rng=self._rng)
        self._replies: dict[int, gevent.event.AsyncResult] = {}
        self._last_call = 0

    def accept(self, expected: int, content: bytes) -> AcceptReply:
        """Put a configuration in force, resending the request until a reply."""
        return self._ask_leader(Accept(expected=expected, content=content))

    def configuration(self) -> ConfigurationReply:
        """Return the newest configuration among the replies of the replicas."""
        replies = self._ask_all(ConfigurationRequest())
        return max(replies.values(), key=lambda reply: reply.revision)

    def status(self) -> dict[str, dict]:
        """Return the status documents of the replicas that reply, by address."""
        replies = self._ask_all(StatusRequest())
        return {
            address: json.loads(reply.document)
            for address, reply in replies.items()
            if isinstance(reply, Status)
        }

    def _ask_leader(self, body: Message) -> Message:
        call = self._new_call()
        deadline = time.monotonic() + self._cfg.timeout_s
        self._send_all(self._leader.ask(call, body, time.monotonic()))
        while not self._replies[call].ready():
            if time.monotonic() >= deadline:
                raise ControlUnavailable(question=type(body).__name__)
            gevent.sleep(TICK_INTERVAL_S)
            self._send_all(self._leader.tick(time.monotonic()))
        return self._replies.pop(call).get()

    def _ask_all(self, body: Message) -> dict[str, Message]:
        deadline = time.monotonic() + self._cfg.timeout_s
        while time.monotonic() < deadline:
            replies = self._ask_all_once(body)
            if replies:
                return replies
            gevent.sleep(TICK_INTERVAL_S)
        raise ControlUnavailable(question=type(body).__name__)

    def _ask_all_once(self, body: Message) -> dict[str, Message]:
        results = {}
        for address in self._cfg.controls:
            call = self._new_call()
            results[address] = self._replies[call]
            self._network.send(address, call, body)
        self._wait_for(results.values())
        return {a: r.get() for a, r in results.items() if r.ready()}

    @staticmethod
    def _wait_for(results: Iterable[gevent.event.AsyncResult]) -> None:
        deadline = time.monotonic() + REPLY_TIMEOUT_S
        for result in results:
            result.wait(max(0.0, deadline - time.monotonic()))

    def _on_message(self, sender: str, call: int, body: Message) -> None:
        now = time.monotonic()
        final, effects = self._leader.answered(sender, call, body, now)
        self._send_all(effects)
        result = self._replies.get(call)
        if result is not None and (final or not self._leader.is_asking(call)):
            result.set(body)

    def _send_all(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._network.send(effect.to, effect.call, effect.body)

    def _new_call(self) -> int:
        self._last_call += 1
        self._replies[self._last_call] = gevent.event.AsyncResult()
        return self._last_call
