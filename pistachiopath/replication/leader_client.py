"""Client that finds the leader of the control replicas and retries commands."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..effects import Send
from ..messages.base import Message
from ..messages.replication import NotLeader

if TYPE_CHECKING:
    import random

    from .effects import Effect

REPLY_TIMEOUT_S = 0.4
REPLY_TIMEOUT_MAX_S = 1.6
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 0.4
SUSPICION_S = 1.0


@attrs.define(kw_only=True)
class _PendingCommand:
    body: Message
    sent_to: str
    sent_at: float
    resend_at: float
    timeout_s: float = REPLY_TIMEOUT_S
    backoff_s: float = BACKOFF_MIN_S
    retry_scheduled: bool = False


class LeaderClient:
    """Sends idempotent commands to the presumed leader and retries them.

    All commands share one presumed leader.  It changes when that replica
    replies that it is not the leader, when the link to it breaks, or when a
    command to it times out and it has replied to no other command since that
    one was sent.  Commands sent to a failed replica are retried at the next one
    after a random delay.  The caller calls `forget` for a command whose reply
    it no longer needs.
    """

    def __init__(self, *, addresses: tuple[str, ...], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._leader = rng.choice(addresses)
        self._pending: dict[int, _PendingCommand] = {}
        self._last_reply_at = 0.0
        self._suspect_until: dict[str, float] = {}

    @property
    def presumed_leader(self) -> str:
        """Address that the next command goes to."""
        return self._leader

    def ask(self, call: int, body: Message, now: float) -> list[Effect]:
        """Send a command whose reply will carry the number `call`."""
        self._pending[call] = _PendingCommand(
            body=body,
            sent_to=self._leader,
            sent_at=now,
            resend_at=now + REPLY_TIMEOUT_S,
        )
        return [Send(to=self._leader, call=call, body=body)]

    def is_asking(self, call: int) -> bool:
        """Tell whether a command is still waiting for its reply."""
        return call in self._pending

    def forget(self, call: int) -> None:
        """Stop retrying a command."""
        self._pending.pop(call, None)

    def answered(
        self, sender: str, call: int, body: Message, now: float
    ) -> tuple[bool, list[Effect]]:
        """Handle a reply; tell whether it completes a pending command."""
        command = self._pending.get(call)
        if command is None:
            return False, []
        if not isinstance(body, NotLeader):
            if sender == self._leader:
                self._last_reply_at = now
            del self._pending[call]
            return True, []
        if sender == self._leader:
            self._follow_hint(body.leader, now)
        if sender == command.sent_to:
            command.retry_scheduled = True
            self._back_off(command, now)
        return False, []

    def link_lost(self, address: str, now: float) -> None:
        """Handle a broken link: commands sent over it may be lost."""
        if address in self._addresses:
            self._mark_failed(address, now)

    def tick(self, now: float) -> list[Effect]:
        """Resend the commands whose retry time has come."""
        effects: list[Effect] = []
        for call, command in self._pending.items():
            if now < command.resend_at:
                continue
            if self._has_timed_out(command):
                self._mark_failed(command.sent_to, now)
            command.sent_to = self._leader
            command.sent_at = now
            command.retry_scheduled = False
            command.resend_at = now + command.timeout_s
            command.timeout_s = min(REPLY_TIMEOUT_MAX_S, command.timeout_s * 2)
            effects.append(Send(to=self._leader, call=call, body=command.body))
        return effects

    def _has_timed_out(self, command: _PendingCommand) -> bool:
        if command.retry_scheduled or command.sent_to != self._leader:
            return False
        return self._last_reply_at <= command.sent_at

    def _mark_failed(self, address: str, now: float) -> None:
        """Suspect a replica and schedule retries of the commands sent to it."""
        self._suspect_until[address] = now + SUSPICION_S
        if address == self._leader:
            self._leader = self._next_address()
        for command in self._pending.values():
            if command.sent_to == address and not command.retry_scheduled:
                command.retry_scheduled = True
                self._back_off(command, now)

    def _follow_hint(self, hint: str, now: float) -> None:
        """Presume the named leader, or the next replica if it is unknown or suspect."""
        is_suspect = now < self._suspect_until.get(hint, now)
        is_usable = hint in self._addresses and not is_suspect
        self._leader = hint if is_usable else self._next_address()

    def _back_off(self, command: _PendingCommand, now: float) -> None:
        command.resend_at = now + self._rng.uniform(0.0, command.backoff_s)
        command.backoff_s = min(BACKOFF_MAX_S, command.backoff_s * 2)

    def _next_address(self) -> str:
        position = self._addresses.index(self._leader)
        return self._addresses[(position + 1) % len(self._addresses)]
