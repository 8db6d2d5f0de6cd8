from __future__ import annotations

from hypothesis import example, given
from hypothesis import strategies as st

from pistachiopath.membership.feed import Feed
from pistachiopath.membership.follower import FeedFollower
from pistachiopath.membership.load_digest import DIGEST_BYTES, pack, unpack
from pistachiopath.membership.publication import (
    LOAD_CHANGE_SHARE,
    LOAD_CHANGE_TOKENS,
    RATE_CHANGE_SHARE,
)
from pistachiopath.messages.membership import Heartbeat, Load, Rate

LEASE_S = 2.0
SOURCE = 'c1:1'
TARGETS = ('t0', 't1', 't2')
TOKENS = st.integers(0, 3_000_000)


def heartbeat(target, *, incarnation=1, tokens=0, zone='dc0', window=4, rate=50.0):
    load = Load(
        window=window,
        prompt_tokens=tokens,
        output_tokens=tokens // 2,
        promised_prompt_tokens=tokens // 3,
        promised_output_tokens=tokens // 4,
    )
    return Heartbeat(
        target=target,
        incarnation=incarnation,
        sequence=1,
        address=f'{target}:1',
        zone=zone,
        models=('m',),
        services=(),
        departing=False,
        revision=1,
        load=load,
        rates=(Rate(model='m', prefill=1000.0, decode=rate),),
    )


def token_counts(load):
    return (
        load.prompt_tokens,
        load.output_tokens,
        load.promised_prompt_tokens,
        load.promised_output_tokens,
    )


def description(report):
    return (report.target, report.incarnation, report.zone, report.load.window)


class Replica:
    """A feed, with the last report of each target for comparison."""

    def __init__(self, number):
        self.feed = Feed(feed_id=number, lease_s=LEASE_S)
        self.last_reports = {}

    def update(self, report, now):
        self.feed.update(report, now)
        self.last_reports[report.target] = (report, now)

    def live(self, now):
        return {t: r for t, r in self.last_reports.items() if now - r[1] < LEASE_S}


def check(received, live, requested_at, now):
    """Check that an incremental view gave the result of a full view."""
    assert sorted(r.target for r, _ in received) == sorted(live)
    for report, heartbeat_at in received:
        last_report, last_heartbeat_at = live[report.target]
        assert description(report) == description(last_report)
        assert heartbeat_at <= last_heartbeat_at - (now - requested_at) + 0.002
        assert heartbeat_at > requested_at - LEASE_S - 0.02
        for decoded, exact in zip(
            token_counts(report.load), token_counts(last_report.load), strict=True
        ):
            error = max(LOAD_CHANGE_TOKENS, LOAD_CHANGE_SHARE * max(decoded, exact))
            assert abs(decoded - exact) <= error * 1.02 + 64
        decoded, exact = report.rates[0].decode, last_report.rates[0].decode
        assert abs(decoded - exact) <= RATE_CHANGE_SHARE * decoded + 0.001


HEARTBEATS = st.tuples(
    st.just('beat'),
    st.sampled_from(TARGETS),
    st.integers(1, 2),
    TOKENS,
    st.sampled_from(['dc0', 'dc1']),
    st.sampled_from([50.0, 53.0, 60.0, 10.0]),
)
STEPS = st.lists(
    st.tuples(
        st.one_of(
            HEARTBEATS,
            st.just(('poll',)),
            st.just(('lose',)),
            st.just(('late',)),
            st.just(('restart',)),
            st.just(('forget',)),
        ),
        st.sampled_from([0.0, 0.1, 0.5, 1.5, 2.5]),
    ),
    max_size=40,
)


@given(STEPS)
@example(
    [
        (('beat', 't0', 1, 0, 'dc0', 50.0), 0.0),
        (('poll',), 0.1),
        # A new incarnation that no view contains before its lease expires.
        (('beat', 't0', 2, 0, 'dc1', 50.0), 2.5),
        (('beat', 't1', 1, 0, 'dc0', 50.0), 0.0),
        (('poll',), 0.0),
        (('beat', 't0', 2, 0, 'dc1', 50.0), 0.0),
        (('poll',), 0.0),
    ]
)
def test_incremental_views_give_the_result_of_full_views(steps):
    follower = FeedFollower(sources=(SOURCE,))
    replica = Replica(1)
    restarts = 1
    delayed = []
    now = 0.0
    for (kind, *details), elapsed_s in steps:
        if kind == 'beat':
            target, incarnation, tokens, zone, rate = details
            report = heartbeat(
                target, incarnation=incarnation, tokens=tokens, zone=zone, rate=rate
            )
            replica.update(report, now)
        elif kind == 'restart':
            restarts += 1
            replica = Replica(restarts)
        elif kind == 'forget':
            kept = replica.live(now)
            replica.last_reports = dict(kept)
            replica.feed.retain(kept.keys())
        else:
            request = follower.request(SOURCE, 1, 'e', now)
            view = replica.feed.view(request, 1, now)
            if kind == 'late':
                delayed.append(view)
            elif kind == 'poll':
                received = follower.apply(SOURCE, view)
                check(received, replica.live(now), now, now)
                for old_view in delayed:
                    follower.apply(SOURCE, old_view)
                delayed.clear()
        now += elapsed_s


def test_a_duplicate_view_is_ignored():
    follower = FeedFollower(sources=(SOURCE,))
    replica = Replica(1)
    replica.update(heartbeat('t0'), 0.0)
    view = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.1), 1, 0.1)
    assert [(r.target, at) for r, at in follower.apply(SOURCE, view)] == [('t0', 0.0)]
    assert follower.apply(SOURCE, view) == []
    assert follower.apply('c9:1', view) == []


def test_a_delayed_view_does_not_make_a_silent_target_live():
    follower = FeedFollower(sources=(SOURCE,))
    replica = Replica(1)
    replica.update(heartbeat('t0'), 0.0)
    view = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.1), 1, 0.1)
    # The view may be read long after, if the entry was frozen meanwhile.
    ((_, heartbeat_at),) = follower.apply(SOURCE, view)
    assert heartbeat_at <= 0.1


def test_a_silent_target_does_not_age_the_others():
    follower = FeedFollower(sources=(SOURCE,))
    replica = Replica(1)
    replica.update(heartbeat('frozen'), 0.0)
    replica.update(heartbeat('healthy'), 0.0)
    first = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.0), 1, 0.0)
    follower.apply(SOURCE, first)
    replica.update(heartbeat('healthy'), 1.8)
    view = replica.feed.view(follower.request(SOURCE, 1, 'e', 1.9), 1, 1.9)
    heartbeat_times = {report.target: at for report, at in follower.apply(SOURCE, view)}
    assert heartbeat_times['frozen'] <= 0.0
    # Ages are sent in whole milliseconds.
    assert 1.8 <= heartbeat_times['healthy'] <= 1.802


def test_an_unchanged_target_takes_one_bit():
    follower = FeedFollower(sources=(SOURCE,))
    replica = Replica(1)
    for number in range(200):
        replica.update(heartbeat(f't{number}', tokens=1000), 0.0)
    first = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.1), 1, 0.1)
    follower.apply(SOURCE, first)
    for number in range(200):
        tokens = 1050 if number else 2000
        replica.update(heartbeat(f't{number}', tokens=tokens), 0.5)
    second = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.6), 1, 0.6)
    assert (len(first.targets), len(second.targets)) == (200, 0)
    assert (len(second.loads), len(second.alive)) == (DIGEST_BYTES, 25)
    assert len(follower.apply(SOURCE, second)) == 200


def test_views_of_many_targets_are_requested_less_often():
    follower = FeedFollower(sources=(SOURCE,))
    replica = Replica(1)
    for number in range(300):
        replica.update(heartbeat(f't{number}'), 0.0)
    view = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.1), 1, 0.1)
    assert follower.interval_s(view) == 2.0
    follower.apply(SOURCE, view)
    view = replica.feed.view(follower.request(SOURCE, 1, 'e', 0.2), 1, 0.2)
    assert follower.interval_s(view) == 0.25


@given(st.integers(0, 65_535), st.integers(0, 2500), TOKENS, st.integers(1, 64))
def test_a_digest_is_accurate_to_a_thousandth(slot, age_ms, tokens, window):
    load = heartbeat('t', tokens=tokens, window=window).load
    (digest,) = unpack(pack(slot, age_ms, load) + b'torn', {slot: window})
    assert (digest.slot, digest.load.window) == (slot, window)
    assert age_ms <= digest.age_ms < age_ms + 10
    for decoded, exact in zip(
        token_counts(digest.load), token_counts(load), strict=True
    ):
        assert abs(decoded - exact) <= exact / 1000 + 1


@given(st.binary(max_size=100))
@example(b'\xff' * DIGEST_BYTES)
def test_any_bytes_are_unpacked_as_digests(data):
    windows = dict.fromkeys(range(65_536), 1)
    assert len(list(unpack(data, windows))) == len(data) // DIGEST_BYTES
    assert list(unpack(data, {})) == []
