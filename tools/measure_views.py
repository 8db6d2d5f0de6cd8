"""Bytes of the views that an entry takes, as differences and whole."""

from __future__ import annotations

import functools
import random

import attrs

from pistachiopath.load.condition import Condition
from pistachiopath.load.experiment import HEARTBEAT_S, Experiment
from pistachiopath.load.workload import WORKLOADS
from pistachiopath.membership.feed import Feed
from pistachiopath.membership.follower import INTERVAL_MIN_S, FeedFollower
from pistachiopath.messages.envelope import Envelope
from pistachiopath.messages.membership import TargetView, View, ViewRequest
from pistachiopath.transport.codec import encode
from tools.measure_policies import POLICIES, RATE_SCALE

# Today's larger deployment has 10 model replicas and 3 services; 312 targets
# are 24 for each of 13 models, 1000 those of a whole data centre.
SIZES = (13, 52, 156, 312, 1000)
SOURCES = ('control-0', 'control-1', 'control-2')
LEASE_S = 2.0
FROM_S = 10.0
RECORDED_S = 50.0
RUN_S = 30.0


class _Recorder(Experiment):
    """Keeps the heartbeats of every target."""

    def __init__(self, **details):
        self.beats = {}
        super().__init__(**details)

    def _send_heartbeats(self):
        for target in self.targets.values():
            self.beats.setdefault(target.name, []).append(target.heartbeat())
        super()._send_heartbeats()


@functools.cache
def recordings():
    """Return the heartbeats of each target of both workloads at rated load."""
    tracks = []
    for workload in WORKLOADS.values():
        recorder = _Recorder(
            workload=workload,
            policy=POLICIES['product'],
            condition=Condition(name='normal'),
            seed=1,
            duration_s=RECORDED_S,
            rate_scale=RATE_SCALE,
        )
        recorder.run()
        first, last = int(FROM_S / HEARTBEAT_S), int(RECORDED_S / HEARTBEAT_S)
        tracks += [beats[first:last] for beats in recorder.beats.values()]
    return tracks


def players(number):
    """Return functions that give each target's heartbeat of a time.

    Each plays the recording of a target from a random place on.
    """
    rng = random.Random(number)
    tracks = recordings()

    def player(position):
        track = tracks[position % len(tracks)]
        start = rng.randrange(len(track))
        phase = rng.uniform(0.0, HEARTBEAT_S)

        def beat(now):
            step = int((now + phase) / HEARTBEAT_S)
            report = track[(start + step) % len(track)]
            name = f'target-{position:05d}'
            address = f'10.1.{position // 250}.{position % 250}:7001'
            return attrs.evolve(report, target=name, address=address, sequence=step)

        return beat

    return [player(position) for position in range(number)]


def size_of(*messages):
    """Return the bytes of messages in their frames."""
    return sum(len(encode(Envelope(call=0, body=m))) for m in messages)


def differences(number):
    """Return the bytes a second that an entry sends and takes in."""
    feeds = [Feed(feed_id=n + 1, lease_s=LEASE_S) for n in range(len(SOURCES))]
    follower = FeedFollower(sources=SOURCES)
    targets = players(number)
    now, sent, turn, due = 0.0, 0, 0, 0.0
    known = 0
    while now < RUN_S:
        if round(now / 0.05) % round(HEARTBEAT_S / 0.05) == 0:
            for target in targets:
                for feed in feeds:
                    feed.update(target(now), now)
        if now >= due:
            turn = (turn + 1) % len(SOURCES)
            request = follower.request(SOURCES[turn], 1, 'entry-a', now)
            view = feeds[turn].view(request, 1, now)
            known = len(follower.apply(SOURCES[turn], view))
            due = now + follower.interval_s(view)
            # The first descriptions are those of a start.
            sent += size_of(request, view) if now > RUN_S / 3 else 0
        now += 0.05
    assert known == number
    return sent / (RUN_S * 2 / 3)


def whole(number):
    """Return the bytes a second of whole views, as they were before."""
    targets = tuple(
        TargetView(age_ms=100, report=target(0.0)) for target in players(number)
    )
    view = View(revision=1, targets=targets)
    return size_of(ViewRequest(revision=1, entry='entry-a'), view) / INTERVAL_MIN_S


def main():
    """Return the bytes a second of both ways by number of targets."""
    return {n: {'differences': differences(n), 'whole': whole(n)} for n in SIZES}


if __name__ == '__main__':
    for size, figures in main().items():
        text = '  '.join(f'{name} {value:.0f} B/s' for name, value in figures.items())
        print(f'{size} targets: {text}')
