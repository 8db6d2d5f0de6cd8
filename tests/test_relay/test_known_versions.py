"""Which version began a stream, by what an entry knows or asks the gates."""

from __future__ import annotations

import math
import time

import attrs
import pytest

from pistachiopath.errors.relay import TurnedAway
from pistachiopath.lifetimes.version_deduction import VersionDeduction
from pistachiopath.relay.origin_search import OriginSearch
from pistachiopath.relay.stream_versions import StreamVersions
from pistachiopath.streams.origin import Origin
from pistachiopath.streams.service_version import ServiceVersion
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.turn_clock import TurnClock
from tests.test_directory.records import record

from .streams import NoNotes, certain_continuations, stream_work


class KnownDirectory:
    """What an entry knows of control nodes and of a service's versions."""

    def __init__(self, answered, *versions):
        self.answered = answered
        self.directory = self
        self.change = 0
        self.found = {
            ServiceVersion(service='model', version=version) for version in versions
        }

    def answered_controls(self, since, now):
        return self.answered

    def answered_by_majority(self, since, now, *, begin=math.inf):
        return self.answered > 0.5

    def controls(self):
        return ()

    def contact_s(self, now):
        return 100.0

    def directory_age_s(self, now):
        return 100.0

    def versions(self, service):
        return self.found

    def records(self):
        return ()


class Gates:
    """Finder whose gates know of one version, or of none."""

    def __init__(self, version=''):
        self.version = version

    def find(self, stream, gates, *, deduce, **_):
        deduced = deduce()
        if not self.version:
            return deduced
        version = ServiceVersion(service='model', version=self.version)
        known = Origin(
            version=version, attempt=1, is_confirmed=True, noted_at=0.0, holder='g'
        )
        return deduced or known


def stream_versions_of(directory, gates):
    """Return what finds versions for an entry with this knowledge."""
    search = OriginSearch(
        subscriber=directory,
        targets=None,
        finder=gates,
        lifetimes=None,
        deduction=VersionDeduction(
            subscriber=directory,
            lifetimes=None,
            accepts=lambda address: False,
            quiet_s=3.6,
        ),
        continuations=certain_continuations(),
    )
    return StreamVersions(
        search=search,
        open_streams=NoNotes(),
        continuations=certain_continuations(),
        turns=TurnClock(),
        metrics=Metrics(),
    )


@pytest.mark.parametrize(
    ('heard', 'versions', 'at_gates', 'expected'),
    [
        (1.0, ('v1',), 'v2', 'v1'),
        (0.7, ('v1',), 'v2', 'v2'),
        (0.7, ('v1',), '', 'v1'),
        (0.5, ('v1',), '', None),
        (1.0, ('v1', 'v2'), '', None),
        (1.0, ('v1', 'v2'), 'v2', 'v2'),
        (1.0, (), '', None),
    ],
)
def test_the_gates_are_asked_before_the_view_of_some_control_nodes_is_trusted(
    heard, versions, at_gates, expected
):
    directory = KnownDirectory(heard, *versions)
    stream_versions = stream_versions_of(directory, Gates(at_gates))
    work = stream_work(time.monotonic())
    work.req = attrs.evolve(work.req, last_event=3, resumes='first')
    if expected is None:
        with pytest.raises(TurnedAway) as caught:
            stream_versions.resolve(work)
        assert (caught.value.status, caught.value.reason) == (503, 'version_unknown')
        assert caught.value.retry_after_s > 0
        return
    stream_versions.resolve(work)
    assert work.stream_version.version == expected


def test_a_stream_whose_service_has_left_the_route_is_refused():
    gone = ServiceVersion(service='other', version='v1')
    stream_versions = stream_versions_of(KnownDirectory(1.0, 'v1', 'v2'), Gates())
    begun = stream_work(time.monotonic())
    stream_versions.begun(begun, record(service='other'), 0.0)
    assert begun.stream_version == gone
    work = stream_work(time.monotonic())
    work.req = attrs.evolve(work.req, last_event=3)
    with pytest.raises(TurnedAway) as caught:
        stream_versions.resolve(work)
    assert caught.value.reason == 'service_gone'
