"""Measures the bytes of the views that an entry receives.

Views as differences are compared with whole views.
"""

from __future__ import annotations

import functools
import random

import attrs

from pistachiopath.load.condition import Condition
from pistachiopath.load.experiment import Experiment
from pistachiopath.load.target_reports import HEARTBEAT_S
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
RECORDING_START_S = 10.0
RECORDING_END_S = 50.0
REPLAY_S = 30.0


class _Recorder(Experiment):
    """Experiment that records the heartbeats of every target."""

    def __init__(self, **details):
        self.recorded_heartbeats = {}
        super().__init__(**details)

    def run(self):
        self._record_heartbeats()
        return super().run()

    def _record_heartbeats(self):
        for target in self.targets.values():
            self.recorded_heartbeats.setdefault(target.name, []).append(
                target.heartbeat()
            )
        self.clock.after(HEARTBEAT_S, self._record_heartbeats)


@functools.cache
def recordings():
    """Return the heartbeats of each target under both workloads at rated load."""
    tracks = []
    for workload in WORKLOADS.values():
        recorder = _Recorder(
            workload=workload,
            policy=POLICIES['product'],
            condition=Condition(name='normal'),
            seed=1,
            duration_s=RECORDING_END_S,
            rate_scale=RATE_SCALE,
        )
        recorder.run()
        first, last = (
            int(RECORDING_START_S / HEARTBEAT_S),
            int(RECORDING_END_S / HEARTBEAT_S),
        )
        tracks += [
            recorded_heartbeats[first:last]
            for recorded_heartbeats in recorder.recorded_heartbeats.values()
        ]
    return tracks


def heartbeat_replays(number):
    """Return for each target a function from a time to its heartbeat.

    Each function repeats the recording of a target from a random offset.
    """
    rng = random.Random(number)
    tracks = recordings()

    def make_replay(position):
        track = tracks[position % len(tracks)]
        offset = rng.randrange(len(track))
        phase = rng.uniform(0.0, HEARTBEAT_S)

        def heartbeat_at(now):
            step = int((now + phase) / HEARTBEAT_S)
            heartbeat = track[(offset + step) % len(track)]
            name = f'target-{position:05d}'
            address = f'10.1.{position // 250}.{position % 250}:7001'
            return attrs.evolve(heartbeat, target=name, address=address, sequence=step)

        return heartbeat_at

    return [make_replay(position) for position in range(number)]


def size_of(*messages):
    """Return the bytes of messages in their frames."""
    return sum(len(encode(Envelope(call=0, body=m))) for m in messages)


def difference_bytes_per_s(number):
    """Return the bytes per second of an entry's view requests and their replies."""
    feeds = [Feed(feed_id=n + 1, lease_s=LEASE_S) for n in range(len(SOURCES))]
    follower = FeedFollower(sources=SOURCES)
    targets = heartbeat_replays(number)
    now, exchanged_bytes, source_index, due_at = 0.0, 0, 0, 0.0
    target_count = 0
    while now < REPLAY_S:
        if round(now / 0.05) % round(HEARTBEAT_S / 0.05) == 0:
            for target in targets:
                for feed in feeds:
                    feed.update(target(now), now)
        if now >= due_at:
            source_index = (source_index + 1) % len(SOURCES)
            request = follower.request(SOURCES[source_index], 1, 'entry-a', now)
            view = feeds[source_index].view(request, 1, now)
            target_count = len(follower.apply(SOURCES[source_index], view))
            due_at = now + follower.interval_s(view)
            # Skip the first third, in which the entry receives all descriptions.
            exchanged_bytes += size_of(request, view) if now > REPLAY_S / 3 else 0
        now += 0.05
    assert target_count == number
    return exchanged_bytes / (REPLAY_S * 2 / 3)


def whole_bytes_per_s(number):
    """Return the bytes per second of whole views, as sent before differences."""
    targets = tuple(
        TargetView(age_ms=100, report=target(0.0))
        for target in heartbeat_replays(number)
    )
    view = View(revision=1, targets=targets)
    return size_of(ViewRequest(revision=1, entry='entry-a'), view) / INTERVAL_MIN_S


def main():
    """Return the bytes per second of both kinds of views by number of targets."""
    return {
        n: {'differences': difference_bytes_per_s(n), 'whole': whole_bytes_per_s(n)}
        for n in SIZES
    }


if __name__ == '__main__':
    for size, figures in main().items():
        text = '  '.join(f'{name} {value:.0f} B/s' for name, value in figures.items())
        print(f'{size} targets: {text}')
