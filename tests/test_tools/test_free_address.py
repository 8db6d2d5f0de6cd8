from __future__ import annotations

import socket

from tools.free_address import FIRST_OUTGOING_PORT, free_address


def test_no_address_is_returned_twice():
    # Among 600 ports that the system picks from some 14,000, some are repeated.
    addresses = [free_address() for _ in range(600)]
    assert len(set(addresses)) == len(addresses)


def test_ports_are_below_those_of_outgoing_connections():
    ports = [int(free_address().rpartition(':')[2]) for _ in range(100)]
    assert max(ports) < FIRST_OUTGOING_PORT


def test_address_in_use_is_skipped():
    address = free_address()
    host, _, port = address.rpartition(':')
    with socket.socket() as taken:
        taken.bind((host, int(port) + 1))
        assert free_address() != f'{host}:{int(port) + 1}'
