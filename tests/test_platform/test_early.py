from __future__ import annotations

import subprocess
import sys

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.errors.transport import ListenFailed
from pistachiopath.exchange.limits import ExchangeLimits
from pistachiopath.exchange.server import HttpServer
from pistachiopath.platform.early import SETTINGS_VARIABLE, listen_early
from pistachiopath.util.early_listener import is_open, take_listener
from tools.free_address import free_address

# Runs the package with a replaced `main` that checks whether callers can connect.
PROBE_PROGRAM = """
import runpy, socket, sys, types
probe = types.ModuleType('pistachiopath.platform.main')
def main():
    socket.create_connection((sys.argv[2], int(sys.argv[3])), 1.0)
    print('accepted')
probe.main = main
sys.modules['pistachiopath.platform.main'] = probe
runpy.run_module('pistachiopath.platform', run_name='__main__')
"""


@pytest.fixture
def settings(tmp_path):
    address = free_address()
    path = tmp_path / 's.toml'
    path.write_text(f"callers = '{address}'\n")
    return address, {SETTINGS_VARIABLE: str(path)}


def connect(address):
    host, _, port = address.rpartition(':')
    return gsocket.create_connection((host, int(port)), 1.0)


def test_connection_opened_before_the_server_starts_is_served(settings):
    # Regression: entries that were still importing their modules refused
    # connections.
    address, environ = settings
    listen_early(['entry', '--metrics-port', '9464'], environ)
    caller = connect(address)
    caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
    server = HttpServer(
        address=address,
        handle=lambda conn, req: conn.respond(200, [], b'here'),
        limits=ExchangeLimits,
        name='callers',
    )
    server.start()
    try:
        with gevent.Timeout(5.0):
            assert b' 200 ' in caller.recv(4096)
    finally:
        caller.close()
        server.stop_accepting()


@pytest.mark.parametrize('args', [['control'], ['entry', '--check'], []])
def test_only_an_entry_that_will_run_listens_early(settings, args):
    address, environ = settings
    listen_early(args, environ)
    assert not is_open(address)


@pytest.mark.parametrize('text', ['callers = 7', 'callers', "callers = 'nowhere'", ''])
def test_invalid_settings_are_ignored(tmp_path, text):
    path = tmp_path / 's.toml'
    path.write_text(text)
    listen_early(['entry'], {SETTINGS_VARIABLE: str(path)})
    listen_early(['entry'], {SETTINGS_VARIABLE: str(tmp_path / 'missing')})
    listen_early(['entry'], {})


def test_address_in_use_is_reported_by_take_listener(settings):
    address, environ = settings
    listen_early(['entry'], environ)
    taken = take_listener(address)
    listen_early(['entry'], environ)
    assert not is_open(address)
    with pytest.raises(ListenFailed) as failed:
        take_listener(address)
    assert failed.value.address == address
    taken.close()


def test_entry_listens_before_main_is_imported(settings, tmp_path):
    address, environ = settings
    host, _, port = address.rpartition(':')
    result = subprocess.run(
        [sys.executable, '-c', PROBE_PROGRAM, 'entry', host, port],
        env=environ | {'PATH': ''},
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.stdout == 'accepted\n', result.stderr
