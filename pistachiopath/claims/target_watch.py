"""What an entry has heard of the target of one binding."""

from __future__ import annotations

import attrs

RESEND_S = 0.5
SILENT_S = 6.0
INQUIRE_S = 1.5
NOT_HELD_S = 2.0


@attrs.define(kw_only=True)
class TargetWatch:
    """Tells when to ask a target again, and when to stop waiting for it.

    Times are seconds of the entry's clock.  `is_inquiring` is set while the
    state of the claim is being asked for, and `is_completed` once the claim
    says that the run ended well.
    """

    heard_at: float
    sent_at: float = 0.0
    inquired_at: float = 0.0
    not_held_since: float | None = None
    is_inquiring: bool = False
    is_completed: bool = False

    def heard(self, now: float, *, held: bool) -> None:
        """Take note of a message, and of whether the target holds the run."""
        self.heard_at = now
        if held:
            self.not_held_since = None
        elif self.not_held_since is None:
            self.not_held_since = now

    def inquired(self, now: float) -> None:
        """Take note that the state of the claim is being asked for."""
        self.is_inquiring = True
        self.inquired_at = now

    def is_silent(self, now: float) -> bool:
        """Tell whether nothing was heard for too long."""
        return now - self.heard_at >= SILENT_S

    def has_not_held(self, now: float) -> bool:
        """Tell whether the target has held nothing for too long."""
        since = self.not_held_since
        return since is not None and now - since >= NOT_HELD_S

    def is_inquiry_due(self, now: float) -> bool:
        """Tell whether the claim should be asked for, as the target is silent."""
        return now - max(self.heard_at, self.inquired_at) >= INQUIRE_S

    def is_resend_due(self, now: float) -> bool:
        """Tell whether the target should be asked again."""
        return now - max(self.heard_at, self.sent_at) >= RESEND_S
