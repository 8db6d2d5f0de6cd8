"""What a folder loads after a crash between any two operations on the disk."""

from __future__ import annotations

import contextlib
import copy
import os
import tempfile
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from pistachiopath.storage.data_folder import DataFolder

from .effect_source import KINDS, EffectSource

OPERATIONS = ('write', 'fsync', 'fdatasync', 'ftruncate', 'replace')
STEPS = st.lists(
    st.tuples(
        st.sampled_from(KINDS),
        st.integers(0, 20),
        st.booleans(),
        st.one_of(st.none(), st.integers(0, 12)),
    ),
    max_size=30,
)


class Crashed(BaseException):
    """The process ends at this point."""


@contextlib.contextmanager
def crash_after(operations):
    """Let so many operations on files take place, then end the process."""
    left = [operations]

    def counted(operation):
        def run(*args, **kwargs):
            if operations is not None:
                if not left[0]:
                    raise Crashed
                left[0] -= 1
            return operation(*args, **kwargs)

        return run

    with contextlib.ExitStack() as stack:
        for name in OPERATIONS:
            stack.enter_context(mock.patch.object(os, name, counted(getattr(os, name))))
        yield


def loaded_state(persisted):
    entries = tuple((e.index, e.term) for e in persisted.entries)
    return persisted.snapshot_index, persisted.snapshot_term, entries


@settings(max_examples=400, deadline=None)
@given(STEPS)
def test_a_folder_never_holds_other_records_than_its_replica(steps):
    # An installed snapshot left records of the replaced log on the disk, so that a
    # restarted node won elections without the changes that it had acknowledged.
    with tempfile.TemporaryDirectory() as name:
        folder = DataFolder(path=Path(name))
        folder.load()
        source = EffectSource()
        allowed = [source.state]
        for kind, number, is_synced, operations in steps:
            newest_term = source.newest_term
            try:
                with crash_after(operations):
                    for effect in source.effects(kind, number):
                        allowed.append(copy.deepcopy(source).state)
                        folder.write(effect)
                    if is_synced:
                        folder.sync()
                        allowed = [source.state]
            except Crashed:
                pass
            else:
                continue
            folder.close()
            folder = DataFolder(path=Path(name))
            found = loaded_state(folder.load())
            assert found in allowed
            source = EffectSource(
                index=found[0],
                term=found[1],
                terms=[term for _, term in found[2]],
                newest_term=max(newest_term, source.newest_term) + 1,
            )
            allowed = [found]
        folder.sync()
        folder.close()
        assert loaded_state(DataFolder(path=Path(name)).load()) == source.state
