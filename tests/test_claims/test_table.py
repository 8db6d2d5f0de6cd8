from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from pistachiopath.claims.identity import dated_ms, make_request_id
from pistachiopath.claims.status import ClaimStatus
from pistachiopath.claims.table import (
    FUTURE_SKEW_MS,
    ONCE_RETENTION_MS,
    RETENTION_MS,
    ClaimTable,
)
from pistachiopath.messages.claims import (
    Bind,
    FinishItem,
    OutcomeRecord,
    Refuse,
    Release,
)
from pistachiopath.quarantine.suspects import Suspects

DONE = OutcomeRecord(kind='completed', status=200)


def make_table():
    return ClaimTable(suspects=Suspects())


def bind(key=b'k', attempt=b'a', **details):
    details = {'target': 't', 'incarnation': 1, 'address': 'x'} | details
    return Bind(key=key, fingerprint=key, attempt=attempt, **details)


def test_claim_is_kept_as_long_as_its_id_is_accepted():
    """An id older than its retention is rejected, so its claim may be removed."""
    for once, retention in ((True, ONCE_RETENTION_MS), (False, RETENTION_MS)):
        claims = make_table()
        now = 10 * ONCE_RETENTION_MS
        cmd = bind(once=once, dated_ms=now)
        claims.bind(cmd, now)
        claims.finish(FinishItem(key=b'k', binding=1, outcome=DONE), now)
        for later in (1, retention - 1, retention, retention * 2):
            claims.prune(now + later)
            again = bind(attempt=b'b', once=once, dated_ms=now)
            status = claims.bind(again, now + later).status
            assert status in (ClaimStatus.FINISHED, ClaimStatus.TOO_OLD)
        assert len(claims) == 0


def test_id_from_the_future_is_rejected():
    now = 10 * ONCE_RETENTION_MS
    cmd = bind(dated_ms=now + FUTURE_SKEW_MS)
    assert make_table().bind(cmd, now).status == ClaimStatus.TOO_OLD


@given(st.integers(0, 2**47), st.binary(min_size=10, max_size=10))
def test_generated_id_contains_its_time(now_ms, randomness):
    assert dated_ms(make_request_id(now_ms, randomness)) == now_ms


class NaiveClaims:
    """Model of the claim table, based on a plain list of granted bindings."""

    def __init__(self):
        self.live = {}
        self.finished = set()
        self.granted = []

    def bind(self, cmd):
        if cmd.key in self.finished or cmd.key in self.live:
            return False
        self.live[cmd.key] = len([g for g in self.granted if g == cmd.key]) + 1
        self.granted.append(cmd.key)
        return True


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(['bind', 'release', 'refuse', 'finish']),
        st.sampled_from([b'1', b'2', b'3']),
        st.integers(0, 3),
    ),
    max_size=40,
)


@given(OPERATIONS)
def test_claim_table_matches_naive_model(operations):
    claims, naive = make_table(), NaiveClaims()
    rng = random.Random(1)
    refusal_indexes = {}
    for index, (kind, key, binding) in enumerate(operations, start=1):
        if kind == 'bind':
            cmd = bind(
                key=key,
                attempt=rng.randbytes(8),
                after_refusal=refusal_indexes.get(key, 0),
            )
            granted = claims.bind(cmd, index).status == ClaimStatus.BOUND
            assert granted == naive.bind(cmd)
        elif kind == 'release':
            reply = claims.release(Release(key=key, binding=binding), index)
            if naive.live.get(key) == binding:
                assert reply.status == ClaimStatus.RELEASED
                del naive.live[key]
        elif kind == 'refuse':
            cmd = Refuse(
                key=key,
                fingerprint=key,
                kind='refused',
                reason='r',
                retry_after_ms=1,
            )
            reply = claims.refuse(cmd, index, index)
            is_free = key not in naive.live and key not in naive.finished
            assert (reply.status == ClaimStatus.REFUSED) == is_free
            if is_free:
                refusal_indexes[key] = index
        else:
            claims.finish(FinishItem(key=key, binding=binding, outcome=DONE), index)
            if naive.live.get(key) == binding:
                del naive.live[key]
                naive.finished.add(key)
        live = {c.key: c.binding for c in claims.bound_to('t')}
        assert live == naive.live
