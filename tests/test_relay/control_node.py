"""A control node that replicas announce themselves to."""

from __future__ import annotations

import itertools
import random

import attrs
import gevent

from pistachiopath.document.settings import DocumentSettings
from pistachiopath.document.shell import DocumentShell
from pistachiopath.relay.settings import LINK_SECRET
from pistachiopath.storage.memory_folder import MemoryFolder
from pistachiopath.storage.no_record_file import NoRecordFile
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.util.loop_failures import LoopFailures
from tools.free_address import free_address

from .version_entries import ANNOUNCE_INTERVAL_S


class Control:
    """A control node, which outlives the entries."""

    def __init__(self):
        self.address = free_address()
        self.shell = DocumentShell(
            cfg=DocumentSettings(
                node_address=self.address,
                seeds=(self.address,),
                forms=True,
                tolerated_losses=0,
                silent_after_s=5.0,
            ),
            open_folder=MemoryFolder,
            replicas=NoRecordFile(),
            customers=lambda content: (),
            rng=random.Random(1),
            secret=LINK_SECRET,
            failures=LoopFailures(metrics=Metrics()),
        )
        self.shell.start()

    def announce_for_ever(self, *records):
        """Announce replicas as these do, more often."""
        for sequence in itertools.count(2):
            for record in records:
                self.shell.announce(attrs.evolve(record, sequence=sequence))
            gevent.sleep(ANNOUNCE_INTERVAL_S)

    @property
    def noted(self):
        return len(self.shell.noted_streams)
