from __future__ import annotations

import attrs
import pytest

from pistachiopath.document.core import DocumentCore
from pistachiopath.effects import Send
from pistachiopath.errors.transport import MalformedFrame
from pistachiopath.messages.document import DocumentReply, PutDocument, PutReply
from pistachiopath.replication.group import Group
from pistachiopath.replication.part_buffer import PartBuffer
from pistachiopath.replication.replica import Replica
from tests.harness.disk import Disk
from tests.harness.document_faults import MANY_PARTS, OTHERS, run_random_faults
from tests.harness.document_world import DocumentNode

SEEDS = range(60)


def read_without_commit(patch):
    """A leader replies to reads from its state without committing a record."""
    propose = DocumentCore._propose

    def without_commit(self, sender, call, body, now, time_ms):
        if self._replica.is_leader and not isinstance(body, PutDocument):
            reply = DocumentReply(version=self.version, content=self.content)
            return [Send(to=sender, call=call, body=reply)]
        return propose(self, sender, call, body, now, time_ms)

    patch.setattr(DocumentCore, '_propose', without_commit)


def acknowledge_without_commit(patch):
    """A leader acknowledges a put before a majority has stored it."""
    propose = DocumentCore._propose

    def without_commit(self, sender, call, body, now, time_ms):
        effects = propose(self, sender, call, body, now, time_ms)
        if self._replica.is_leader and isinstance(body, PutDocument):
            self._pending.pop(self._replica.log.last_index, None)
            reply = PutReply(version=body.version)
            effects = [*effects, Send(to=sender, call=call, body=reply)]
        return effects

    patch.setattr(DocumentCore, '_propose', without_commit)


def no_sync(patch):
    """A power loss erases everything written since the start."""
    patch.setattr(Disk, 'sync', lambda self: None)
    patch.setattr(Disk, 'crash', lambda self: self._pending.clear())


def lost_folder_keeps_its_vote(patch):
    """A member that lost its folder keeps its identity and may form a group."""

    def lose_disk(self):
        self.disk = Disk(member=f'{self.name}-disk')

    patch.setattr(DocumentNode, 'lose_disk', lose_disk)
    init = Group.__init__

    def without_check(self, **kwargs):
        init(self, **kwargs)
        self._can_form = True
        self._may_form = True

    patch.setattr(Group, '__init__', without_check)


def vote_for_shorter_logs(patch):
    """A replica votes for the first candidate, however short its log is."""
    on_vote = Replica._on_vote_request

    def without_check(self, sender, req, now):
        on_vote(self, sender, attrs.evolve(req, last_term=10**6), now)

    patch.setattr(Replica, '_on_vote_request', without_check)


def acknowledge_waiting_puts(patch):
    """A put that waits for an earlier one is acknowledged before it is proposed."""
    put = DocumentCore._put

    def without_wait(self, body, request, now, time_ms):
        effects = put(self, body, request, now, time_ms)
        if self._next_put is None or request not in self._next_put.requests:
            return effects
        self._next_put.requests.remove(request)
        reply = PutReply(version=body.version)
        return [*effects, Send(to=request.sender, call=request.call, body=reply)]

    patch.setattr(DocumentCore, '_put', without_wait)


def keep_repeated_parts(patch):
    """A follower adds each part to what it holds, also one that it has already."""

    def without_check(self, msg):
        self._data += msg.data
        return len(self._data)

    patch.setattr(PartBuffer, 'add', without_check)


# A record of other parts may not be readable.
FOUND = (AssertionError, AttributeError, MalformedFrame)
PART_MUTATIONS = [acknowledge_waiting_puts, keep_repeated_parts]
MUTATIONS = [
    read_without_commit,
    acknowledge_without_commit,
    no_sync,
    lost_folder_keeps_its_vote,
    vote_for_shorter_logs,
]


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda m: m.__name__)
def test_random_faults_detect_a_missing_mechanism(monkeypatch, mutation):
    mutation(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            run_random_faults(seed)


@pytest.mark.parametrize('mutation', PART_MUTATIONS, ids=lambda m: m.__name__)
def test_random_faults_detect_a_fault_of_records_in_parts(monkeypatch, mutation):
    mutation(monkeypatch)
    with pytest.raises(FOUND):
        for seed in SEEDS:
            run_random_faults(seed, others=OTHERS, tolerated=2, timing=MANY_PARTS)
