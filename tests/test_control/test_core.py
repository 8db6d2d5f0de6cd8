from __future__ import annotations

import random

import pytest

from pistachiopath.control.core import ControlCore
from pistachiopath.messages.configuration import Accept
from pistachiopath.messages.replication import Append, Entry, Member, VoteReply
from pistachiopath.replication.persisted import Persisted
from pistachiopath.transport.codec import encode_message
from tests.test_promises import mutations

MEMBERS = tuple(Member(member=name, address=f'{name}:1') for name in 'abc')
OWN = Accept(expected=0, content=b'own')
OTHER = Accept(expected=0, content=b'other')


def leader():
    """Return a replica that has just won the election of term 2."""
    formed = Entry(index=1, term=1, kind='members', time_ms=0, members=MEMBERS)
    core = ControlCore(
        address='a:1',
        addresses=tuple(m.address for m in MEMBERS),
        persisted=Persisted(member='a', term=1, entries=(formed,)),
        rng=random.Random(1),
        now=0.0,
    )
    core.tick(5.0, 5000)
    for pre in (True, False):
        vote = VoteReply(member='b', term=2, pre=pre, granted=True)
        core.receive('b:1', 0, vote, 5.0, 5000)
    assert core.group.replica.is_leader
    return core


def content_after_replacement():
    """Return the content applied after another leader's record replaced a proposal."""
    core = leader()
    core.receive('operator', 1, OWN, 5.1, 5100)
    records = (
        Entry(index=2, term=3, kind='noop', time_ms=0),
        Entry(
            index=3, term=3, kind='command', time_ms=0, command=encode_message(OTHER)
        ),
    )
    msg = Append(
        to_member='a',
        term=3,
        round=1,
        previous_index=1,
        previous_term=1,
        commit=3,
        entries=records,
    )
    core.receive('b:1', 0, msg, 5.2, 5200)
    return core.state.configuration


def test_replaced_leader_applies_committed_record_and_not_its_proposal(monkeypatch):
    assert content_after_replacement() == b'other'
    mutations.no_proposal_term(monkeypatch)
    with pytest.raises(AssertionError):
        assert content_after_replacement() == b'other'
