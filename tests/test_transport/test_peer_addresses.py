from __future__ import annotations

import pytest

from pistachiopath.messages.allowance import Borrow
from pistachiopath.telemetry.metrics import Metrics
from pistachiopath.transport.handshake import ROLE_NODE, Identity
from pistachiopath.transport.network import Network
from pistachiopath.util.loop_failures import LoopFailures
from tests.harness.waiting import wait_until


@pytest.mark.parametrize(
    'address',
    [
        ':',
        'a:b',
        '127.0.0.1:99999',
        '127.0.0.1:' + '9' * 5000,
        'a' * 100 + ':1',
        '\0:1',
    ],
    ids=lambda a: repr(a[:20]),
)
def test_a_peer_at_an_address_that_is_none_is_a_lost_one(address):
    # Regression: the dial ended with ValueError, and messages to it were kept for ever.
    lost = []
    network = Network(
        identity=Identity(
            name='127.0.0.1:1', role=ROLE_NODE, secrets={ROLE_NODE: b's'}
        ),
        on_message=lambda *_: None,
        on_lost=lost.append,
        failures=LoopFailures(metrics=Metrics()),
    )
    network.send(address, 0, Borrow(customer='a', cost=1))
    wait_until(lambda: lost)
    assert lost == [address]
    assert not network._dialling
