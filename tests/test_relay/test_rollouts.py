"""Rollouts at an entry: where new requests go, what is counted and reported."""

from __future__ import annotations

import random
import time

import attrs
import pytest

from pistachiopath.messages.rollout_totals import RolloutTotals
from pistachiopath.messages.rollouts import RolloutNotice, RolloutRecord
from pistachiopath.relay.placer import Placer
from pistachiopath.relay.rollout_link import make_rollout_link
from pistachiopath.rollouts.bounds import RolloutBounds
from pistachiopath.rollouts.state import RolloutStage, RolloutState
from pistachiopath.routing.placement import Candidate, Placement
from pistachiopath.streams.service_version import version_of
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.waiting import wait_until
from tests.test_directory.records import record
from tests.test_exchange.sockets import ScriptedTarget

from .parts import FAILED, answer
from .streams import stream_work
from .test_entry import Node

BOUNDS = RolloutBounds(exposure_share=0.1)
CONTROL = '127.0.0.1:9'


def rollout(**changes):
    fields = {
        'service': 'model',
        'to': 'v2',
        'order': 1,
        'serial': 1,
        'duration_ms': 12_000,
        'elapsed_ms': 0,
        'state': RolloutState.ACTIVE,
        'stage': RolloutStage.CANARY,
        'share_ppm': 250_000,
        'earlier': ('v1',),
    }
    return RolloutRecord(**fields | changes)


def news_of(item, age_ms=0):
    return (RolloutNotice(record=item, age_ms=age_ms),)


class FakeTargets:
    """Four replicas of the old version and four of the new."""

    def __init__(self):
        self.records = [
            record(replica=f'{version}-{n}', software_version=version)
            for version in ('v1', 'v2')
            for n in range(4)
        ]

    def ready(self):
        return self.records

    def candidates(self, service, excluded, now):
        return [
            Candidate(record=r, load=None, is_silent=False)
            for r in self.records
            if r.replica not in excluded
        ]

    def draining(self, service, excluded, now):
        return []

    def first_backoff_end(self, service, now):
        return None

    def may_send(self, replica_record, now):
        return replica_record in self.records

    def may_resume(self, replica_record, now):
        return True


class Placing:
    """A placer with rollouts."""

    def __init__(self):
        self.targets = FakeTargets()
        self.silent = set()
        self.link = make_rollout_link(
            bounds=BOUNDS,
            rng=random.Random(3),
            session=1,
            ready=self.targets.ready,
            is_silent=lambda replica, now: replica in self.silent,
            main=lambda now: CONTROL,
            send=lambda *message: None,
            metrics=Metrics(),
        )
        self.placer = Placer(
            places=None,
            placement=Placement(zone='a', rng=random.Random(1)),
            targets=self.targets,
            is_quarantined=lambda work, now: False,
            rng=random.Random(2),
            rollouts=self.link,
        )

    def hear(self, item, age_ms=0):
        self.link._serving.clear()
        body = attrs.make_class('News', ['rollouts'])(news_of(item, age_ms))
        self.link.on_news(body, time.monotonic())

    def choose(self, **changes):
        work = stream_work(time.monotonic())
        for name, value in changes.items():
            setattr(work, name, value)
        return self.placer.choose(work).record

    def versions(self, number=100):
        return [self.choose().software_version for _ in range(number)]


@pytest.fixture
def placing():
    return Placing()


def test_without_an_order_versions_serve_side_by_side(placing):
    assert set(placing.versions()) == {'v1', 'v2'}


def test_the_new_version_gets_exactly_its_share_at_few_replicas(placing):
    placing.hear(rollout())
    chosen = [placing.choose() for _ in range(100)]
    new = [r.replica for r in chosen if r.software_version == 'v2']
    assert 24 <= len(new) <= 26
    assert len(set(new)) == 1


def test_a_repeat_is_another_choice_and_a_wait_is_not(placing):
    placing.hear(rollout(share_ppm=500_000))
    work = stream_work(time.monotonic())
    first = placing.placer.choose(work).record.software_version
    work.denied.add('v1-0')
    assert placing.placer.choose(work).record.software_version == first
    # One that could not be reached got no request.
    work.excluded.add('v1-1')
    assert placing.placer.choose(work).record.software_version == first
    work.sends = 1
    assert placing.placer.choose(work).record.software_version != first


def test_a_request_for_the_new_version_falls_back_to_the_old_one(placing):
    placing.hear(rollout(share_ppm=999_999))
    excluded = {f'v2-{n}' for n in range(4)}
    assert placing.choose(excluded=excluded).software_version == 'v1'


def test_a_request_for_the_old_version_is_not_spilled_to_the_new_one(placing):
    # A shortage of the old version must not expose more requests than its share.
    placing.hear(rollout(share_ppm=1))
    excluded = {f'v1-{n}' for n in range(4)}
    assert placing.choose(excluded=excluded).software_version == 'v1'


@pytest.mark.parametrize(
    ('changes', 'versions'),
    [
        ({'share_ppm': 0}, {'v1'}),
        ({'share_ppm': 1_000_000, 'stage': RolloutStage.FULL}, {'v2'}),
        ({'state': RolloutState.COMPLETE, 'share_ppm': 1_000_000}, {'v2'}),
        ({'state': RolloutState.ROLLED_BACK, 'share_ppm': 0}, {'v1'}),
    ],
)
def test_versions_by_state(placing, changes, versions):
    placing.hear(rollout(**changes))
    assert set(placing.versions(20)) == versions


def test_a_record_that_the_leader_has_not_renewed_exposes_nothing(placing):
    placing.hear(rollout(), age_ms=int(BOUNDS.contact_s * 1000) + 1)
    assert set(placing.versions(20)) == {'v1'}
    placing.hear(rollout())
    assert set(placing.versions(20)) == {'v1', 'v2'}


def test_an_older_record_changes_nothing(placing):
    placing.hear(rollout(serial=3, state=RolloutState.ROLLED_BACK))
    placing.hear(rollout(serial=2))
    assert set(placing.versions(20)) == {'v1'}


def test_a_request_that_was_denied_by_the_canary_waits_where_it_is(placing):
    # Regression: it left each next gate at once, as that was no canary's.
    placing.hear(rollout())
    works = [stream_work(time.monotonic()) for _ in range(10)]
    work = next(
        w for w in works if placing.placer.choose(w).record.software_version == 'v2'
    )
    for _ in range(5):
        chosen = placing.placer.choose(work)
        assert not placing.placer._should_move(work, chosen, time.monotonic())
        work.denied.add(chosen.record.replica)


def test_a_request_that_waits_at_a_version_rolled_back_moves(placing):
    placing.hear(rollout(share_ppm=1_000_000, stage=RolloutStage.FULL))
    work = stream_work(time.monotonic())
    chosen = placing.placer.choose(work)
    assert not placing.placer._should_move(work, chosen, time.monotonic())
    placing.hear(rollout(serial=2, state=RolloutState.ROLLED_BACK))
    assert placing.placer._should_move(work, chosen, time.monotonic())


def test_a_request_that_waited_for_a_place_is_not_sent_after_the_rollback(placing):
    placing.hear(rollout())
    work = stream_work(time.monotonic())
    chosen = placing.targets.records[-1]
    assert placing.placer.may_send(work, chosen)
    placing.hear(rollout(serial=2, state=RolloutState.ROLLED_BACK))
    assert not placing.placer.may_send(work, chosen)


def test_a_stream_goes_on_at_the_version_that_began_it(placing):
    placing.hear(rollout(state=RolloutState.ROLLED_BACK, share_ppm=0))
    version = version_of(placing.targets.records[-1])
    assert placing.choose(stream_version=version).software_version == 'v2'
    work = stream_work(time.monotonic())
    work.stream_version = version
    assert placing.placer.may_send(work, placing.targets.records[-1])


def test_if_one_version_is_gone_the_other_serves(placing):
    placing.targets.records = placing.targets.records[:4]
    placing.hear(rollout(state=RolloutState.COMPLETE))
    assert set(placing.versions(5)) == {'v1'}
    placing.targets.records = [r for r in FakeTargets().records if 'v2' in r.replica]
    placing.hear(rollout(order=2, serial=9, share_ppm=0))
    assert set(placing.versions(5)) == {'v2'}


def test_replicas_that_have_fallen_silent_do_not_count_as_serving(placing):
    # Those that crash send no departure.
    placing.silent = {f'v1-{n}' for n in range(4)}
    placing.hear(rollout(share_ppm=0))
    assert set(placing.versions(5)) == {'v2'}
    placing.silent |= {f'v2-{n}' for n in range(4)}
    placing.hear(rollout(share_ppm=0, serial=2))
    assert set(placing.versions(5)) == {'v1'}


def sends_of(node):
    """Return the entry's part in rollouts and what it sends to its control node."""
    sent = []
    link = node.entry._rollouts
    # No control node listens here, so the link to it is lost at some time.
    link._main = lambda now: CONTROL
    link._send = lambda to, call, body: sent.append((to, body))
    return link, sent


def test_an_entry_splits_counts_and_reports():
    node = Node(rollouts=BOUNDS)
    old = ScriptedTarget(*[[answer()]] * 40)
    new = ScriptedTarget(*[[FAILED]] * 40)
    records = [
        record(replica='old', service='plain', address=old.address),
        record(
            replica='new',
            service='plain',
            address=new.address,
            software_version='v2',
        ),
    ]
    item = rollout(service='plain', share_ppm=500_000)
    node.receive_news(records=records, rollouts=news_of(item))
    for _ in range(20):
        node.send_request()
    assert len(new.requests) == 10
    assert len(old.requests) == 10
    link, sent = sends_of(node)
    link.tick(time.monotonic())
    ((to, body),) = sent
    assert to == CONTROL
    assert isinstance(body, RolloutTotals)
    rows = {row.version: row for row in body.orders[0].versions}
    assert (rows['v2'].sent, rows['v2'].ended, rows['v2'].failed) == (10, 10, 10)
    assert (rows['v1'].answered, rows['v1'].failed) == (10, 0)
    assert sum(t.number for t in rows['v1'].times) == 10
    # Nothing is reported of a rollout that has ended.
    ended = attrs.evolve(item, serial=2, state=RolloutState.ROLLED_BACK, share_ppm=0)
    node.receive_news(records=records, rollouts=news_of(ended), version=8)
    link.tick(time.monotonic())
    assert len(sent) == 1
    node.send_request()
    assert len(new.requests) == 10


def test_an_entry_reports_by_itself():
    node = Node(rollouts=BOUNDS)
    _, sent = sends_of(node)
    node.receive_news(rollouts=news_of(rollout()))
    wait_until(lambda: sent)


def test_without_bounds_an_entry_ignores_rollouts():
    node = Node()
    target = ScriptedTarget([answer()] * 20)
    records = [
        record(replica='new', service='plain', address=target.address),
    ]
    item = rollout(service='plain', to='v1', state=RolloutState.ROLLED_BACK)
    node.receive_news(records=records, rollouts=news_of(item))
    assert node.entry._rollouts is None
    assert node.send_request().startswith(b'HTTP/1.1 200')
