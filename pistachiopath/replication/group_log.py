"""Log lines of a group's membership and of members that look for their group."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..messages.replication import Member, Probe

logger = logging.getLogger(__name__)

# A line that repeats while its cause lasts comes once in this time.
REPEAT_INTERVAL_S = 3.0
MAX_ADDRESSES = 8


class GroupLog:
    """Logs what a member learns of its group and what a leader changes in it.

    A line that would repeat is logged every `REPEAT_INTERVAL_S`, so that a fault that
    lasts does not fill the log.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, member: str) -> None:
        self._member = member
        self._logged_at: dict[str, float] = {}
        self._searching_since: float | None = None

    def searching_s(self, now: float) -> float:
        """Return for how long this member has looked for its group, in seconds."""
        since = self._searching_since
        return 0.0 if since is None else now - since

    def search(
        self,
        now: float,
        *,
        asked: list[str],
        blank: int,
        with_log: int,
        last_index: int,
    ) -> None:
        """Record that addresses are asked for the group.

        `blank` and `with_log` count the members that replied lately.
        """
        if self._searching_since is None:
            self._searching_since = now
            self._logged_at['group_search'] = now
            return
        if not self._is_due('group_search', now):
            return
        logger.warning(
            'group_search',
            extra={
                'member': self._member,
                'searching_s': round(self.searching_s(now), 3),
                'asked': len(asked),
                'addresses': _listed(asked),
                'blank_replies': blank,
                'replies_with_log': with_log,
                'last_index': last_index,
            },
        )

    def found(self, now: float, leader: str) -> None:
        """Record that this member has a group; it may have one already."""
        if self._searching_since is None:
            return
        logger.info(
            'group_found',
            extra={
                'member': self._member,
                'leader': leader,
                'searching_s': round(self.searching_s(now), 3),
            },
        )
        self._searching_since = None

    def for_other_member(self, now: float, sender: str, to_member: str) -> None:
        """Record a leader's message for another folder at this address."""
        if self._is_due('append_for_other_member', now):
            logger.info(
                'append_for_other_member',
                extra={
                    'member': self._member,
                    'to_member': to_member,
                    'sender': sender,
                },
            )

    def not_admitted(self, now: float, probe: Probe, reason: str) -> None:
        """Record why the leader does not admit a member that looks for its group."""
        if self._is_due('probe_not_admitted', now):
            logger.info(
                'probe_not_admitted',
                extra={
                    'prober': probe.member,
                    'address': probe.address,
                    'is_diskless': probe.diskless,
                    'reason': reason,
                },
            )

    def admitted(self, learner: Member, replaced: list[Member], sender: str) -> None:
        """Record that the leader admits a member in place of others at its address."""
        logger.info(
            'member_admitted',
            extra={
                'learner': learner.member,
                'address': learner.address,
                'is_diskless': learner.diskless,
                'replaced': _listed([m.member for m in replaced]),
                'sender': sender,
            },
        )

    def promoted(self, member: Member, lag: int) -> None:
        """Record that the leader makes a learner a voter; `lag` is in records."""
        logger.info(
            'member_promoted',
            extra={'voter': member.member, 'address': member.address, 'lag': lag},
        )

    def removed(self, member: Member, silent_s: float) -> None:
        """Record that the leader removes a member that was silent."""
        logger.info(
            'member_removed',
            extra={
                'removed': member.member,
                'address': member.address,
                'is_voter': member.voter,
                'silent_s': round(silent_s, 3),
            },
        )

    def voters_missing(
        self, now: float, *, wanted: int, silent: list[str], learners: list[str]
    ) -> None:
        """Record that fewer voters than wanted reply, with who could take over."""
        if self._is_due('voters_missing', now):
            logger.warning(
                'voters_missing',
                extra={
                    'wanted': wanted,
                    'silent': _listed(silent),
                    'learners': _listed(learners),
                },
            )

    def _is_due(self, line: str, now: float) -> bool:
        logged_at = self._logged_at.get(line)
        if logged_at is not None and now - logged_at < REPEAT_INTERVAL_S:
            return False
        self._logged_at[line] = now
        return True


def _listed(names: list[str]) -> str:
    """Return the first names as one value."""
    return ','.join(names[:MAX_ADDRESSES])
