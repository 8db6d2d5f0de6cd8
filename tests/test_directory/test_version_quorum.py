"""Versions that more than half of the control nodes know."""

from __future__ import annotations

import attrs
import pytest

from pistachiopath.directory.subscriber import Subscriber
from pistachiopath.directory.version_quorum import VersionQuorum
from pistachiopath.directory.version_spread import SPREAD_INTERVAL_S, VersionSpread
from pistachiopath.messages.directory import EstablishedVersion, News
from pistachiopath.streams.service_version import ServiceVersion, version_of

from .records import record

CONTROLS = ('a:1', 'b:1', 'c:1')
V1 = ServiceVersion(service='model', version='v1')
V2 = ServiceVersion(service='model', version='v2')


def replica(version, **changes):
    details = {'replica': f'r-{version.version}', 'address': f'{version.version}:80'}
    return record(
        service=version.service,
        software_version=version.version,
        **details | changes,
    )


def news(*versions, controls=CONTROLS, members=(), feed=7, **changes):
    records = tuple(replica(version) for version in versions)
    return News(
        feed=feed,
        change=len(records),
        version=0,
        content=b'',
        records=records,
        controls=controls,
        members=members,
        entries=1,
        silent=(),
        first_change=1,
        **changes,
    )


def test_a_version_that_one_of_three_control_nodes_knows_is_taken_for_established():
    quorum = VersionQuorum()
    for control in CONTROLS:
        quorum.heard(control, news(V1))
    quorum.heard('c:1', news(V2))
    assert quorum.is_established(V1, CONTROLS)
    assert not quorum.is_established(V2, CONTROLS)
    quorum.heard('a:1', news(V2))
    assert quorum.is_established(V2, CONTROLS)


@pytest.mark.parametrize(
    ('controls', 'members'),
    [(CONTROLS, ()), (('c:1',), ('a:1', 'b:1'))],
    ids=['just cut off', 'for long'],
)
def test_a_control_node_that_is_cut_off_counts_as_the_whole_group(controls, members):
    quorum = VersionQuorum()
    quorum.heard('c:1', news(V2, controls=controls, members=members))
    assert not quorum.is_established(V2, ('c:1',))
    assert not quorum.is_majority(('c:1',), ('c:1',))


def test_the_group_shrinks_while_no_control_node_is_heard():
    quorum = VersionQuorum()
    quorum.heard('c:1', news(V2))
    assert not quorum.is_established(V2, ())


def test_a_control_node_that_started_again_counts_as_one_that_still_knows():
    quorum = VersionQuorum()
    quorum.heard('b:1', news(V2))
    quorum.heard('b:1', news(feed=8))
    quorum.heard('c:1', news(V2))
    assert not quorum.is_established(V2, CONTROLS)


def test_an_established_version_is_doubted_as_control_nodes_are_lost():
    quorum = VersionQuorum()
    quorum.heard('a:1', news(V2))
    quorum.heard('b:1', news(V2))
    assert quorum.is_established(V2, CONTROLS)
    quorum.heard('a:1', news(feed=8))
    assert quorum.is_established(V2, ('c:1',))


def test_an_entry_that_starts_beside_one_control_node_does_not_know_what_is_old():
    quorum = VersionQuorum()
    told = EstablishedVersion(service='model', software_version='v1')
    quorum.heard('c:1', news(V1, V2, established=(told,)))
    assert quorum.is_established(V1, ('c:1',))
    assert not quorum.is_established(V2, ('c:1',))


def test_a_control_node_does_not_count_what_it_knows_itself():
    quorum = VersionQuorum(own_address='a:1')
    assert not quorum.is_established(V2, CONTROLS)
    quorum.heard('b:1', news(V2))
    assert quorum.is_established(V2, CONTROLS)


def test_a_version_that_comes_back_after_its_retention_is_still_established():
    quorum = VersionQuorum()
    for control in CONTROLS:
        quorum.heard(control, news(V2))
    assert quorum.is_established(V2, CONTROLS)
    quorum.keep(lambda version: version != V2)
    quorum.heard('c:1', news(V2))
    assert not quorum.is_established(V2, CONTROLS)


@pytest.fixture
def subscriber():
    found = Subscriber(is_entry=True, own_address='e:1')
    for control in CONTROLS:
        found.on_news(control, news(V1), 1.0)
    return found


def test_a_version_that_one_part_of_a_cut_knows_is_never_passed_to_the_other(
    subscriber,
):
    spread = VersionSpread(subscriber=subscriber)
    subscriber.on_news('c:1', news(V2), 1.0)
    assert spread.tick(1.0) == []
    due = spread.tick(1.0 + SPREAD_INTERVAL_S)
    assert sorted(send.to for send in due) == ['a:1', 'b:1']
    assert {version_of(r) for send in due for r in send.body.records} == {V2}
    subscriber.on_news('b:1', news(V2), 1.5)
    assert spread.tick(9.0) == []


def test_control_nodes_that_are_not_heard_make_no_majority(subscriber):
    for control in CONTROLS[:2]:
        subscriber.on_news(control, news(V1, directory_age_ms=60_000), 5.0)
    asked = {send.to: send.call for send in subscriber.ask(['r-v1'], 6.0)}
    subscriber.on_news('a:1', news(V1, directory_age_ms=60_000), 6.1, call=asked['a:1'])
    assert not subscriber.answered_by_majority(6.0, 6.1, begin=0.0)
    subscriber.on_news('b:1', news(V1, directory_age_ms=60_000), 6.1, call=asked['b:1'])
    assert subscriber.answered_by_majority(6.0, 6.1, begin=0.0)


def test_a_control_node_that_started_after_the_stream_counts_for_the_majority(
    subscriber,
):
    asked = {send.to: send.call for send in subscriber.ask(['r-v1'], 2.0)}
    for control, age_ms in (('a:1', 60_000), ('b:1', 500)):
        answer = news(V1, directory_age_ms=age_ms)
        subscriber.on_news(control, answer, 2.1, call=asked[control])
    assert subscriber.answered_by_majority(2.0, 2.1, begin=1.9)
    assert not subscriber.answered_by_majority(2.0, 2.1, begin=1.0)


def test_replicas_that_are_gone_keep_their_version_unestablished(subscriber):
    gone = attrs.evolve(replica(V2), state='gone')
    subscriber.on_news('c:1', attrs.evolve(news(), records=(gone,), change=2), 1.0)
    spread = VersionSpread(subscriber=subscriber)
    spread.tick(1.0)
    assert spread.tick(2.0) == []
