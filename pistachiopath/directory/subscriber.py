"""Subscription of a node to the control nodes' configuration and replicas."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from ..effects import Send
from ..messages.directory import Follow
from ..util.rendezvous import by_weight
from .directory import Directory
from .source import (
    CONTROL_TIMEOUT_S,
    FOLLOW_INTERVAL_S,
    FULL_POLLS,
    MAIN_CONTROL_TIMEOUT_S,
    Question,
    Source,
)
from .sources import Sources
from .version_quorum import VersionQuorum

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.directory import News
    from ..streams.service_version import ServiceVersion

logger = logging.getLogger(__name__)

# A node that missed changes asks for them this soon.
REPAIR_INTERVAL_S = 0.05
# Control nodes push changes at once, so an entry polls those other than its main
# one only to see that they are alive.
FOLLOW_OTHERS_INTERVAL_S = 1.2
# If the main control node does not send a newer configuration within this time,
# it is requested from any control node that offers it.
CONTENT_TIMEOUT_S = 0.3
# A configuration that the main control node has offered is on its way.  Another
# copy would only delay it on the same link.
OFFERED_CONTENT_TIMEOUT_S = 1.5
# A node without a configuration serves no requests.  It polls this often, so that
# it soon finds a first control node that starts after it.
INITIAL_FOLLOW_INTERVAL_S = 0.05
# After all VMs restart, control nodes start up to a second after the first one.  A
# replica may announce itself to any of them, so one that has not answered yet is polled
# this often at first.
FIRST_FOLLOW_INTERVAL_S = 0.2
MAX_FIRST_POLLS = 15
# Control nodes pass gone replicas on for longer, so nothing is missed in a gap of
# this length.
MAX_NEWS_GAP_S = 60.0
# A control node that others no longer list is asked this often, while any is heard.
UNLISTED_FOLLOW_INTERVAL_S = 5.0
# Unanswered requests to one control node whose times are kept.
MAX_QUESTIONS = 64


class Subscriber:
    """Polls every known control node for changes and merges the replies.

    An entry takes configurations from its main control node.  The main control
    nodes of all entries are spread evenly.  A control node has them from the
    replicated log: it wants none, and polls all others equally often.  The version
    never decreases, and the state stays in use while no control node replies.
    `Sources` tells which are known.  `now` is a monotonic clock in seconds.
    """

    def __init__(self, *, is_entry: bool, own_address: str) -> None:
        self.directory = Directory()
        self.version = 0
        self.content = b''
        self.entries = 0
        self._is_entry = is_entry
        self._own_address = own_address
        self._sources = Sources(own_address=own_address)
        self._quorum = VersionQuorum(own_address='' if is_entry else own_address)
        # The directory's change up to which all versions are established.
        self._established_until = 0
        self._main = ''
        self._directory_since = math.inf
        self._news_at = -math.inf
        self._last_question = 0

    def set_seeds(self, seeds: tuple[str, ...], now: float) -> None:
        """Follow the control nodes at these addresses in addition to others."""
        self._sources.set_seeds(seeds, now)

    def add_control(self, address: str, now: float) -> None:
        """Follow a control node that was heard of otherwise than by news."""
        self._sources.add(address, now)

    def controls(self) -> tuple[str, ...]:
        """Return the control nodes that are followed."""
        return self._sources.addresses()

    def heard(self, now: float) -> tuple[str, ...]:
        """Return the control nodes that sent a message recently."""
        return self._sources.heard(now)

    def live_controls(self, now: float) -> int:
        """Return how many control nodes sent a message recently."""
        return len(self.heard(now))

    def heard_controls(self, now: float) -> float:
        """Return the share of the control nodes that sent a message recently.

        Those that no control node has listed for a while do not count.
        """
        listed = self._sources.listed(now)
        heard = sum(s.is_heard(now) for s in listed)
        return heard / max(1, len(listed))

    def answered_controls(self, since: float, now: float) -> float:
        """Return the share of the control nodes whose news are newer than a time.

        They have answered a request that names replicas and was sent then or later.
        """
        listed = self._sources.listed(now)
        answered = sum(s.answered_at >= since for s in listed)
        return answered / max(1, len(listed))

    def answered_by_majority(
        self, since: float, now: float, *, begin: float = math.inf
    ) -> bool:
        """Return whether the news of more than half of the control nodes are newer.

        As `answered_controls`, of those whose directories go back to `begin`.  Control
        nodes that are not heard count as members of the group for as long as others
        name them.
        """
        answered = [
            address
            for address, source in self._sources.items()
            if source.answered_at >= since and source.directory_since <= begin
        ]
        return self._quorum.is_majority(answered, self.heard(now))

    def hears_majority(self, now: float) -> bool:
        """Return whether more than half of the control nodes are heard."""
        heard = self.heard(now)
        return self._quorum.is_majority(heard, heard)

    def is_established(self, version: ServiceVersion, now: float) -> bool:
        """Return whether more than half of the control nodes know a version."""
        return self._quorum.is_established(version, self.heard(now))

    def lacking(self, version: ServiceVersion, now: float) -> list[str]:
        """Return the control nodes that are heard and do not know a version."""
        return self._quorum.lacking(version, self.heard(now))

    def has_unestablished(self, now: float) -> bool:
        """Return whether a version of any service is not established."""
        change = self.directory.change
        if self._established_until == change:
            return False
        heard = self.heard(now)
        versions = self.directory.all_versions()
        if not all(self._quorum.is_established(v, heard) for v in versions):
            return True
        self._established_until = change
        return False

    def directory_age_s(self, now: float) -> float:
        """Return for how many seconds all replicas that announced themselves are known.

        A control node that is alive may know them for longer than this node.
        """
        begins = [s.directory_since for s in self._sources.values() if s.is_heard(now)]
        return max(0.0, now - min([self._directory_since, *begins]))

    def asked_at(self, sender: str, call: int) -> float:
        """Return when the request was sent that a message of this call answers.

        It is -infinity if the message answers none, or one of before a lost link.
        """
        source = self._sources.get(sender)
        question = source.questions.get(call) if source else None
        return question.sent_at if question else -math.inf

    def ask(self, replicas: Iterable[str], now: float) -> list[Send]:
        """Return requests for when lifetimes of replicas announced themselves last."""
        asked = tuple(sorted(replicas))
        return [
            self._follow(address, source, now, asked=asked)
            for address, source in self._sources.items()
            if source.is_heard(now)
        ]

    def contact_s(self, now: float) -> float:
        """Return for how many seconds this node has heard of control nodes."""
        return max(0.0, now - self._directory_since)

    def main(self, now: float) -> str:
        """Return the main control node, or an empty string if none is alive.

        It stays the same while it is alive.
        """
        source = self._sources.get(self._main)
        if source is None or source.is_main_silent(now):
            live = [
                address
                for address, other in self._sources.items()
                if now - other.last_message_at < MAIN_CONTROL_TIMEOUT_S
            ]
            self._main = next(iter(by_weight(self._own_address, live)), '')
        return self._main

    def link_lost(self, address: str) -> None:
        """Handle a lost link: a control node there counts as not alive."""
        source = self._sources.get(address)
        if source is not None:
            source.last_message_at = -CONTROL_TIMEOUT_S
            source.asked_at = -math.inf
            source.questions.clear()
            source.full_polls = 0 if source.states_first else FULL_POLLS

    def tick(self, now: float) -> list[Send]:
        """Return the follow requests that are due."""
        self._sources.prune(now)
        if self.directory.prune(now):
            self._quorum.keep(self.directory.all_versions().__contains__)
        self._sources.log_contact(now, self.version)
        main = self.main(now)
        has_no_contact = not self.version and not self.live_controls(now)
        effects: list[Send] = []
        for address, source in self._sources.items():
            timeout_s = self._content_timeout_s(address, main)
            newer_since_s = now - source.newer_version_since
            is_content_late = self._is_entry and newer_since_s >= timeout_s
            if now < source.next_follow_at and not is_content_late:
                continue
            if is_content_late:
                source.newer_version_since = now
            source.next_follow_at = now + self._follow_interval_s(
                address, source, now, has_no_contact=has_no_contact
            )
            source.first_polls += not source.has_answered
            source.asked_at = min(source.asked_at, now)
            effects.append(
                self._follow(address, source, now, wants_content=is_content_late)
            )
        return effects

    def _content_timeout_s(self, address: str, main: str) -> float:
        """Return how long a newer configuration may be offered without content."""
        source = self._sources.get(main)
        is_offered = source is not None and source.newer_version_since < math.inf
        if is_offered and address != main:
            return OFFERED_CONTENT_TIMEOUT_S
        return CONTENT_TIMEOUT_S

    def _follow_interval_s(
        self, address: str, source: Source, now: float, *, has_no_contact: bool
    ) -> float:
        if has_no_contact:
            return INITIAL_FOLLOW_INTERVAL_S
        if not source.has_answered and source.first_polls < MAX_FIRST_POLLS:
            return FIRST_FOLLOW_INTERVAL_S
        if not self._sources.is_current(address, now) and self.live_controls(now):
            return UNLISTED_FOLLOW_INTERVAL_S
        is_not_main = self._is_entry and self._main and address != self._main
        return FOLLOW_OTHERS_INTERVAL_S if is_not_main else FOLLOW_INTERVAL_S

    def on_news(
        self, sender: str, body: News, now: float, *, call: int = 0
    ) -> list[Send]:
        """Merge a reply or push; return acknowledgements of a new version."""
        source = self._sources.add(sender, now)
        if source is None:
            return []
        source.last_message_at = now
        source.has_answered = True
        source.asked_at = math.inf
        source.silent = frozenset(body.silent)
        source.directory_since = now - body.directory_age_ms / 1000
        if now - self._news_at >= MAX_NEWS_GAP_S:
            self._directory_since = now
        self._news_at = now
        question = source.questions.pop(call, None)
        has_all = self._follow_changes(sender, source, body, now)
        if has_all and question is not None and question.is_detailed:
            source.answered_at = max(source.answered_at, question.sent_at)
        self._quorum.heard(sender, body)
        for record in body.records:
            self.directory.merge(record, now)
        for address in body.controls:
            self._sources.add(address, now)
        for address in body.members:
            self._sources.remember(address, now)
        self.entries = body.entries
        if body.version <= self.version:
            source.newer_version_since = math.inf
            return []
        if not body.content:
            source.newer_version_since = min(source.newer_version_since, now)
            return []
        self.version = body.version
        self.content = body.content
        return [
            self._follow(address, source, now)
            for address, source in self._sources.items()
            if self._sources.is_current(address, now)
        ]

    def _follow_changes(
        self, sender: str, source: Source, body: News, now: float
    ) -> bool:
        """Record the changes that were received without a gap; ask for missing ones.

        Return whether nothing is missing.
        """
        if body.first_change:
            source.states_first = True
            source.full_polls = 0
        elif source.states_first:
            source.states_first = False
            source.full_polls = FULL_POLLS
        if source.has_all_before(body):
            source.feed = body.feed
            source.change = body.change
            return True
        source.next_follow_at = min(source.next_follow_at, now + REPAIR_INTERVAL_S)
        if body.first_change:
            logger.info(
                'news_missed',
                extra={
                    'sender': sender,
                    'held': source.change,
                    'first': body.first_change,
                    'newest': body.change,
                    'is_same_feed': body.feed == source.feed,
                },
            )
        return False

    def is_silent(self, replica: str, now: float) -> bool:
        """Return whether all control nodes that are alive report a replica as silent.

        The result is false if no control node is alive.
        """
        live = [s for s in self._sources.values() if s.is_heard(now)]
        return bool(live) and all(replica in source.silent for source in live)

    def _follow(
        self,
        address: str,
        source: Source,
        now: float,
        *,
        wants_content: bool = False,
        asked: tuple[str, ...] = (),
    ) -> Send:
        self._last_question += 1
        source.questions[self._last_question] = Question(
            sent_at=now, is_detailed=bool(asked)
        )
        if len(source.questions) > MAX_QUESTIONS:
            del source.questions[next(iter(source.questions))]
        is_supplier = address == self._main or not self.version
        is_full = source.full_polls > 0
        source.full_polls = max(0, source.full_polls - 1)
        body = Follow(
            version=self.version,
            feed=source.feed,
            since=0 if is_full else source.change,
            is_entry=self._is_entry,
            wants_content=self._is_entry and (wants_content or is_supplier),
            asked=asked,
        )
        return Send(to=address, call=self._last_question, body=body)
