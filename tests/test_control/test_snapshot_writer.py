from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.control.replicated_state import ReplicatedState
from pistachiopath.control.snapshot import pack_state, unpack_state
from pistachiopath.control.snapshot_writer import SnapshotWriter
from pistachiopath.messages.claims import (
    Bind,
    Finish,
    FinishItem,
    OutcomeRecord,
    Refuse,
    Release,
)
from pistachiopath.messages.membership import CrashReport, Register, Retire
from pistachiopath.replication.effects import SaveSnapshot, WriteSnapshotPart
from tools.leading_control import leading_control

KEYS = [bytes([n]) for n in range(12)]
TEN_MINUTES_MS = 10 * 60 * 1000


def command(kind, number):
    key = KEYS[number % len(KEYS)]
    if kind == 'bind':
        return Bind(
            key=key,
            fingerprint=key,
            attempt=bytes([number]),
            target='t',
            incarnation=1,
            address='t',
            once=number % 3 == 0,
            dated_ms=0,
        )
    if kind == 'release':
        return Release(key=key, binding=1)
    if kind == 'refuse':
        return Refuse(
            key=key, fingerprint=key, kind='refused', reason='', retry_after_ms=1
        )
    if kind == 'finish':
        outcome = OutcomeRecord(kind='completed', status=200)
        return Finish(items=(FinishItem(key=key, binding=1, outcome=outcome),))
    if kind == 'crash':
        return CrashReport(target='t', number=number, keys=(key,))
    return Retire(target='t', incarnation=1, crashed=True)


COMMANDS = st.lists(
    st.tuples(
        st.sampled_from(
            ['bind', 'bind', 'bind', 'release', 'refuse', 'finish', 'crash', 'retire']
        ),
        st.integers(0, 200),
        st.sampled_from([0, 1000, TEN_MINUTES_MS]),
    ),
    max_size=30,
)


class History:
    """Applies commands to a state, one log record each."""

    def __init__(self):
        self.state = ReplicatedState()
        self.index = 1
        self.time_ms = 1000
        self.state.apply(1, 1000, Register(target='t', nonce=b'1'))

    def apply(self, kind, number, elapsed_ms):
        self.index += 1
        self.time_ms += elapsed_ms
        self.state.apply(self.index, self.time_ms, command(kind, number))


def contents(state):
    """Return the records of a state, with the claims sorted by key."""
    head = list(state.head_records())
    return head, sorted(state.claims, key=lambda claim: claim.key)


@given(COMMANDS, COMMANDS, st.integers(1, 5))
def test_snapshot_written_during_changes_holds_the_initial_state(before, after, step):
    history = History()
    for choice in before:
        history.apply(*choice)
    expected = pack_state(history.state)
    writer = SnapshotWriter(state=history.state, index=history.index)
    parts = []
    for choice in after:
        history.apply(*choice)
        parts.append(writer.step(step))
    while not writer.is_done:
        parts.append(writer.step(step))
    assert contents(unpack_state(writer.data())) == contents(unpack_state(expected))
    assert b''.join(data for _, data in parts) == writer.data()[: total_size(parts)]
    assert [offset for offset, _ in parts] == offsets_of(parts)


def total_size(parts):
    return sum(len(data) for _, data in parts)


def offsets_of(parts):
    return [total_size(parts[:number]) for number in range(len(parts))]


def single_replica(claims, **sizes):
    """Return the only replica of a control group, with `claims` claims."""
    core, now = leading_control(**sizes)
    core.receive('e', 1, Register(target='t', nonce=b'1'), now, 1000)
    core.synced(now)
    (record,) = core.state.targets.values()
    for number in range(claims):
        key = number.to_bytes(4, 'big')
        cmd = Bind(
            key=key,
            fingerprint=key,
            attempt=key,
            target='t',
            incarnation=record.incarnation,
            address='t',
        )
        core.receive('e', number + 2, cmd, now, 1000)
    core.synced(now)
    assert len(core.state.claims) == claims
    return core, now


def test_snapshot_is_written_over_many_ticks():
    # Regression: the whole state was written in one tick, at 27 us per claim.
    core, now = single_replica(1000, snapshot_entries=1, snapshot_step=100)
    sizes = []
    while True:
        now += 0.02
        effects = core.tick(now, int(now * 1000))
        sizes += [len(e.data) for e in effects if isinstance(e, WriteSnapshotPart)]
        if any(isinstance(e, SaveSnapshot) for e in effects):
            break
        core.synced(now)
    assert len(sizes) == 10
    assert max(sizes) < 1.5 * min(sizes)
