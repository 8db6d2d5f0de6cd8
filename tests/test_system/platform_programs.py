"""The platform's programs on loopback, with one replica that answers every request."""

from __future__ import annotations

import http.server
import json
import os
import subprocess
import sys
import threading
import time
from typing import TYPE_CHECKING

import tomli_w
import urllib3

from tools.cluster import wait_until
from tools.free_address import free_address
from tools.soak import wire
from tools.soak.documents import CUSTOMER, KEYS, document
from tools.soak.topology import HOST

if TYPE_CHECKING:
    from pathlib import Path

ANNOUNCE_S = 0.5
CALL_TIMEOUT_S = 2.0
SERVICE = 'desk'
PATH = '/lookups/1'


class PlatformPrograms:
    """A control node, an entry, an agent and a replica; use as a context manager."""

    def __init__(self, *, folder: Path, roles: tuple[str, ...]):
        self._folder = folder
        self._roles = roles
        # The following two ports are taken as well, so no address below gets them.
        first_port, *_ = (int(free_address().rpartition(':')[2]) for _ in range(3))
        self._ports = [first_port, first_port + 2]
        self.callers = free_address()
        self.readiness = free_address()
        self.control = free_address()
        self.nodes = {
            role: f'127.0.0.1:{first_port + number}'
            for number, role in enumerate(('control', 'entry', 'agent'))
        }
        self.metrics = {role: free_address() for role in roles}
        self.processes: dict[str, subprocess.Popen] = {}
        self._replica = _ReplicaServer(('127.0.0.1', 0), _ReplicaHandler)
        self._ended = threading.Event()
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _start_all(self):
        threading.Thread(target=self._replica.serve_forever, daemon=True).start()
        for role in self._roles:
            self._start(role)
        if 'control' in self._roles:
            wait_until(self.put_configuration, 'no configuration in force')
            threading.Thread(target=self._announce_forever, daemon=True).start()
        if 'entry' in self._roles:
            wait_until(self.is_answered, 'no request is answered')
        for role in self._roles:
            wait_until(lambda role=role: self.has_metrics(role), f'no {role}')

    def __exit__(self, *_exc_info):
        self._ended.set()
        for process in self.processes.values():
            process.kill()
            process.wait()
        self._replica.shutdown()
        self._replica.server_close()

    def _start(self, role: str):
        settings = {
            'name': f'{role}-1',
            'role': role,
            'zone': 'zone-a',
            'ip': '127.0.0.1',
            'ports': self._ports,
            'seeds': [self.control],
            'announce_ms': ANNOUNCE_S * 1000,
            'callers': self.callers,
            'readiness': self.readiness,
            'control': self.control,
            'is_first_start': True,
            'tolerated_losses': 0,
            'data_folder': str(self._folder / f'{role}.data'),
        }
        path = self._folder / f'{role}.toml'
        path.write_text(tomli_w.dumps(settings))
        port = self.metrics[role].rpartition(':')[2]
        command = [sys.executable, '-m', 'pistachiopath.platform', role]
        with (self._folder / f'{role}.log').open('ab') as log:
            self.processes[role] = subprocess.Popen(
                [*command, '--metrics-port', port],
                stdout=log,
                stderr=log,
                env=os.environ | {'PISTACHIOPATH_SETTINGS': str(path)},
            )

    # Ordinary requests, one to each kind of address

    def put_configuration(self, padded_to=0) -> bool:
        """Send the configuration to the control node again."""
        path = wire.CONFIGURATION_PATH
        return self._call('PUT', self.control, path, document(1), padded_to)

    def announce(self, padded_to=0) -> bool:
        """Announce the replica."""
        path = f'{wire.REPLICAS_PATH}i-{SERVICE}-1'
        host, port = self._replica.server_address
        body = {
            'backend': SERVICE,
            'address': f'{host}:{port}',
            'zone': 'zone-a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmup_left_ms': 0,
            'sequence': time.monotonic_ns(),
            'born': 1,
        }
        return self._call('PUT', self.control, path, body, padded_to)

    def is_answered(self) -> bool:
        """Whether a caller's request is answered by the replica."""
        return self.answer_size(b'an ordinary body') == len(b'an ordinary body')

    def answer_size(self, body: bytes) -> int | None:
        """Return how much of a caller's request the replica read, None without it."""
        headers = {
            'Host': HOST,
            wire.REQUEST_ID: f'r-{time.monotonic_ns()}',
            wire.AUTHORIZATION: wire.KEY_SCHEME + KEYS[CUSTOMER],
        }
        reply = self._request('POST', self.callers, PATH, headers=headers, body=body)
        return int(reply.data) if reply is not None and reply.status == 200 else None

    def is_ready(self) -> bool:
        """Whether the entry says that it is ready."""
        return self._call('GET', self.readiness, '/')

    def has_metrics(self, role: str) -> bool:
        """Whether a program answers a request for its metrics."""
        return self._call('GET', self.metrics[role], '/metrics')

    def _call(
        self, method: str, address: str, path: str, content=None, padded_to=0
    ) -> bool:
        body = None if content is None else json.dumps(content).ljust(padded_to)
        reply = self._request(method, address, path, body=body)
        return reply is not None and reply.status == 200

    def _request(self, method: str, address: str, path: str, **options):
        try:
            return self._http.request(method, f'http://{address}{path}', **options)
        except urllib3.exceptions.HTTPError:
            return None

    def _announce_forever(self):
        while not self._ended.is_set():
            self.announce()
            self._ended.wait(ANNOUNCE_S)


class _ReplicaServer(http.server.ThreadingHTTPServer):
    daemon_threads = True


class _ReplicaHandler(http.server.BaseHTTPRequestHandler):
    """Answers each request with the number of bytes of its body."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self):
        self._answer()

    def do_POST(self):
        self._answer()

    def _answer(self):
        body = self.rfile.read(int(self.headers.get('Content-Length', '0')))
        data = b'%d' % len(body)
        self.send_response(200)
        self.send_header(wire.REQUEST_ID, self.headers.get(wire.REQUEST_ID, ''))
        self.send_header(wire.SIGNATURE, 'i-desk-1.1')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def log_message(self, *_args):
        """Log nothing."""
