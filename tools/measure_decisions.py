"""Measures the cost of one routing decision by the number of targets."""

from __future__ import annotations

import random
import time

from pistachiopath.claims.submission import Submission
from pistachiopath.messages.dispatch import Work
from pistachiopath.messages.membership import (
    Heartbeat,
    Load,
    Rate,
)
from pistachiopath.routing.earliest_finish import EarliestFinish
from pistachiopath.routing.targets import TargetTable

SIZES = (5, 20, 80, 320, 1280, 11_000)
DECISIONS = 2000


def make_heartbeat(number, rng):
    """Return a heartbeat of a target."""
    return Heartbeat(
        target=f't{number}',
        incarnation=1,
        sequence=1,
        address=f't{number}',
        zone='dc0',
        models=('m',),
        services=(),
        departing=False,
        revision=1,
        load=Load(running=3, window=8, prompt_tokens=rng.randrange(9000)),
        rates=(Rate(model='m', prefill=4000.0, decode=rng.uniform(30, 120)),),
    )


def make_submission(number, prefix):
    """Return a submission whose prompt has the given chunk hashes as prefix."""
    key = number.to_bytes(16, 'big')
    return Submission(
        key=key,
        fingerprint=key,
        attempt=key,
        named=True,
        work=Work(path='', model='m', prompt_tokens=9000, output_tokens=300),
        submitted_at=0.0,
        deadline=1000.0,
        prefix=prefix,
    )


def seconds_per_decision(size):
    """Return the mean processor seconds of a decision among `size` targets."""
    rng = random.Random(size)
    table = TargetTable()
    table.update([(make_heartbeat(n, rng), 0.0) for n in range(size)], 0.0)
    chooser = EarliestFinish(targets=table, rng=rng)
    prefixes = [tuple(rng.getrandbits(64) for _ in range(20)) for _ in range(50)]
    submissions = [make_submission(n, prefixes[n % 50]) for n in range(DECISIONS)]
    started_at = time.process_time()
    for number, submission in enumerate(submissions):
        chooser.choose(submission, frozenset(), 0.0)
        if number >= 50:
            chooser.ended(submissions[number - 50])
    return (time.process_time() - started_at) / DECISIONS


def main():
    """Return microseconds by number of targets."""
    return {size: seconds_per_decision(size) * 1e6 for size in SIZES}


if __name__ == '__main__':
    for size, cost in main().items():
        print(f'{size} targets: {cost:.0f} us')
