"""Callers that left before their request was read."""

from __future__ import annotations

import time

import pytest

from tests.harness.waiting import let_pass

from .sample_requests import POST
from .sockets import EchoServer


@pytest.mark.parametrize('kept', [True, False])
@pytest.mark.parametrize('leaves', [True, False])
def test_a_request_whose_caller_left_while_the_process_stood_still_is_not_handled(
    kept, leaves
):
    handled = []
    server = EchoServer(handle=lambda conn, req: handled.append(req.target))
    caller = server.connect()
    if kept:
        let_pass(0.05)
    caller.sendall(POST)
    if leaves:
        caller.close()
    # The loop does not turn meanwhile.
    time.sleep(0.3)
    let_pass(0.2)
    assert len(handled) == (not leaves)
