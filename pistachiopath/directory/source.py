"""A control node that a node follows, and the state of its feed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..messages.directory import News

FOLLOW_INTERVAL_S = 0.4
CONTROL_TIMEOUT_S = 3.0
MAIN_CONTROL_TIMEOUT_S = 1.2
# The main control node replies within this time to a request that is due.
MAIN_REPLY_TIMEOUT_S = MAIN_CONTROL_TIMEOUT_S - FOLLOW_INTERVAL_S
# A control node that no other has listed for so long does not count as one of them.
LISTING_LEASE_S = 30.0
# Of the requests after a new link, the reply to the first has come by the last.
FULL_POLLS = 2


@attrs.define(kw_only=True, frozen=True)
class Question:
    """A request to a control node; `is_detailed` if it names replicas."""

    sent_at: float
    is_detailed: bool


@attrs.define(kw_only=True)
class Source:
    """A followed control node and the state of its feed.

    `newer_version_since` is when it offered a newer configuration without the
    content, or when that was last requested.  `asked_at` is when the first follow
    request was sent that it has not answered, infinity if there is none, and
    -infinity before the first message over a link.  `silent` holds the replicas that
    it reported as silent, and `directory_since` is when its directory begins.
    All changes of `feed` up to `change` were received.  `states_first` tells whether
    it says where its news begin.  If it does not, `full_polls` requests ask for all
    changes after a new link, before its news are believed.  `questions` holds
    the unanswered requests.  `answered_at` is when the last request was sent that
    names replicas and whose answer has come, with all changes before it.
    `has_answered` tells whether it ever sent a message, and `first_polls` counts the
    requests before that.
    """

    last_listed_at: float
    last_message_at: float = -CONTROL_TIMEOUT_S
    next_follow_at: float = 0.0
    asked_at: float = -math.inf
    newer_version_since: float = math.inf
    feed: int = 0
    change: int = 0
    full_polls: int = FULL_POLLS
    states_first: bool = False
    silent: frozenset[str] = frozenset()
    directory_since: float = math.inf
    has_answered: bool = False
    first_polls: int = 0
    questions: dict[int, Question] = attrs.field(factory=dict)
    answered_at: float = -math.inf

    def is_heard(self, now: float) -> bool:
        """Return whether it sent a message recently."""
        return now - self.last_message_at < CONTROL_TIMEOUT_S

    def is_listed(self, now: float) -> bool:
        """Return whether a control node has listed it lately."""
        return now - self.last_listed_at < LISTING_LEASE_S

    def is_main_silent(self, now: float) -> bool:
        """Return whether it has not replied for too long to be the main control node.

        A node that was paused has asked it for nothing meanwhile.
        """
        is_old = now - self.last_message_at >= MAIN_CONTROL_TIMEOUT_S
        return is_old and now - self.asked_at >= MAIN_REPLY_TIMEOUT_S

    def has_all_before(self, news: News) -> bool:
        """Return whether all changes before those of a message were received."""
        if not news.first_change:
            return not self.full_polls
        is_same_feed = news.feed == self.feed
        return news.first_change <= (self.change if is_same_feed else 0) + 1
