"""Timers of an entry for the target of one binding."""

from __future__ import annotations

import attrs

RESEND_AFTER_S = 0.5
SILENT_AFTER_S = 6.0
INQUIRE_AFTER_S = 1.5
NOT_HELD_AFTER_S = 2.0
# An entry that was paused has sent less and has not read what arrived meanwhile.
SILENT_AFTER_SENDS = 3


@attrs.define(kw_only=True)
class TargetWatch:
    """Decides when to send to a target again, and when to stop waiting for it.

    Times are seconds of the entry's clock.  `is_inquiring` is set while an
    inquiry about the claim is pending, and `is_completed` once the claim shows
    that the run completed.  `unanswered` counts the sends since the last message.
    """

    last_message_at: float
    sent_at: float = 0.0
    unanswered: int = 0
    inquired_at: float = 0.0
    not_held_since: float | None = None
    is_inquiring: bool = False
    is_completed: bool = False

    def message_received(self, now: float, *, held: bool) -> None:
        """Record a message, and whether the target holds the run."""
        self.last_message_at = now
        self.unanswered = 0
        if held:
            self.not_held_since = None
        elif self.not_held_since is None:
            self.not_held_since = now

    def sent(self, now: float) -> None:
        """Record that a message was sent to the target."""
        self.sent_at = now
        self.unanswered += 1

    def inquiry_sent(self, now: float) -> None:
        """Record that an inquiry about the claim was sent."""
        self.is_inquiring = True
        self.inquired_at = now

    def is_silent(self, now: float) -> bool:
        """Return whether no message has arrived for too long, in spite of resends."""
        is_overdue = now - self.last_message_at >= SILENT_AFTER_S
        return is_overdue and self.unanswered >= SILENT_AFTER_SENDS

    def is_run_missing(self, now: float) -> bool:
        """Return whether the target has not held the run for too long."""
        since = self.not_held_since
        return since is not None and now - since >= NOT_HELD_AFTER_S

    def is_inquiry_due(self, now: float) -> bool:
        """Return whether to inquire about the claim, as the target is silent."""
        return now - max(self.last_message_at, self.inquired_at) >= INQUIRE_AFTER_S

    def is_resend_due(self, now: float) -> bool:
        """Return whether to send to the target again."""
        return now - max(self.last_message_at, self.sent_at) >= RESEND_AFTER_S
