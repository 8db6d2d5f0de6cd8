from __future__ import annotations

import re
import socket
import subprocess
import sys
from pathlib import Path

import gevent
import gevent.socket as gsocket

from pistachiopath.platform.metrics_page import metrics_server
from pistachiopath.telemetry.metrics import Metrics
from tools.free_address import free_address

SETTINGS = """
name = 'n'
role = 'entry'
zone = 'a'
ip = '127.0.0.1'
ports = [7600, 7615]
seeds = ['127.0.0.1:8229']
"""


def run(*args):
    return subprocess.run(
        [sys.executable, '-m', 'pistachiopath.platform', *args],
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )


def test_check_prints_the_settings(tmp_path):
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS)
    result = run('entry', '--settings', str(path), '--check')
    assert result.returncode == 0
    assert "zone='a'" in result.stdout


def test_every_invalid_setting_is_reported(tmp_path):
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS.replace("zone = 'a'", 'zone = 7') + 'seedz = 1\n')
    result = run('entry', '--settings', str(path), '--check')
    assert result.returncode == 2
    assert 's.toml: zone: ' in result.stderr
    assert 'seedz' in result.stderr


def test_template_has_only_existing_settings():
    from attrs import fields

    from pistachiopath.platform.settings import PlatformSettings

    template = Path('deploy/settings.toml').read_text()
    names = set(re.findall(r'(?:^|}})(\w+) = ', template, re.MULTILINE))
    assert len(names) > 12
    assert names <= {field.name for field in fields(PlatformSettings)}


def test_metrics_are_served_over_http():
    address = free_address()
    metrics = Metrics()
    metrics.count('requests_total', outcome='delivered')
    metrics_server(address, metrics).start()
    gevent.sleep(0)
    host, _, port = address.rpartition(':')
    sock = gsocket.create_connection((host, int(port)))
    sock.sendall(b'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n')
    assert b'requests_total{outcome="delivered"} 1' in sock.recv(65536)


def test_address_in_use_ends_the_program_without_traceback(tmp_path):
    address = free_address()
    host, _, port = address.rpartition(':')
    path = tmp_path / 's.toml'
    path.write_text(SETTINGS)
    with socket.create_server((host, int(port))):
        result = run('agent', '--settings', str(path), '--metrics-port', port)
    assert result.returncode == 1
    assert f'msg=start_failed address={address}' in result.stdout
    assert 'Traceback' not in result.stderr + result.stdout
