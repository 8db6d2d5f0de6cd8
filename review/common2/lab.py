"""A small deployment on loopback: programs of the deploy file and stand-ins.

Everything here uses the standard library alone.  The programs are started with the
commands of the deploy file and with settings from its template.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

from partition import NodeProxy, Partition

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = 'case.example'
KEY = 'k3yc4s3n1n3'
TENANT = 'tenant-one'
HEARTBEAT_MS = 1200
MEMORY_MB = 150
# Exit code of a case that could not run.
EXIT_NOT_RUN = 2


def free_port() -> int:
    """Return a port that is free on loopback."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def free_block() -> int:
    """Return the first of the ports for messages between programs, all free."""
    while True:
        first = random.randint(20000, 29000)
        socks = [socket.socket() for _ in range(3)]
        try:
            for offset, sock in enumerate(socks):
                sock.bind(('127.0.0.1', first + offset))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        return first


def toml(settings: dict) -> str:
    """Return settings as TOML; JSON writes these values in the same way."""
    return ''.join(f'{key} = {json.dumps(value)}\n' for key, value in settings.items())


class Program:
    """One program of the platform as a process."""

    def __init__(self, *, lab: Lab, name: str, role: str, settings: dict) -> None:
        self.name = name
        self.role = role
        self.settings = settings
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.is_of_first_start = role == 'control'
        self._lab = lab
        self._path = lab.folder / f'{name}.toml'
        self.log = lab.folder / f'{name}.log'

    def start(self) -> None:
        """Start a process; only the first one is that of a new system."""
        self.write_settings(is_first_start=self.starts == 0 and self.is_of_first_start)
        self.starts += 1
        kept = {k: v for k, v in os.environ.items() if k in ('PATH', 'HOME', 'LANG')}
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    'python3',
                    '-S',
                    '-m',
                    'pistachiopath.platform',
                    self.role,
                    '--metrics-port',
                    str(self._lab.metrics_ports[self.role]),
                ],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=kept
                | {
                    'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
                    'PISTACHIOPATH_SETTINGS': str(self._path),
                },
                process_group=0,
            )

    def write_settings(self, *, is_first_start: bool = False) -> None:
        """Write the settings file."""
        first = {'is_first_start': is_first_start}
        self._path.write_text(toml(self.settings | first))

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            status = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0


class Lab:
    """Programs, replicas and the operator of one case; use as a context manager."""

    def __init__(
        self,
        *,
        controls: int = 3,
        entries: int = 1,
        diskless: int = 0,
        memory_mb: int = MEMORY_MB,
        settings: dict | None = None,
        is_proxied: bool = False,
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.network = f'127.{random.randint(64, 190)}.{random.randint(1, 250)}'
        self.callers_port = free_port()
        self.readiness_port = free_port()
        self.control_port = free_port()
        roles = ('control', 'entry', 'agent')
        self.metrics_ports = {role: free_port() for role in roles}
        self.replica_port = free_port()
        self.nodes_port = free_block()
        self.started_at = time.monotonic()
        self.record = []
        self.extra = settings or {}
        self.programs: dict[str, Program] = {}
        self.tasks: list[asyncio.Task] = []
        self.replicas: list[Replica] = []
        self.memory_mb = memory_mb
        self.is_proxied = is_proxied
        ips = [f'{self.network}.{n}' for n in range(1, 41)]
        self.control_ips = ips[: controls + diskless]
        self.seeds = self.seeds_at(self.control_ips[:controls])
        for number, ip in enumerate(self.control_ips):
            disk = self.folder / f'data-{number + 1}'
            self._add(
                f'control-{number + 1}',
                'control',
                ip,
                control=f'{ip}:{self.control_port}',
                **({'data_folder': str(disk)} if number < controls else {}),
            )
        self.entry_ips = ips[:entries]
        for number, ip in enumerate(self.entry_ips):
            self._add(
                f'entry-{number + 1}',
                'entry',
                ip,
                callers=f'{ip}:{self.callers_port}',
                readiness=f'{ip}:{self.readiness_port}',
            )

    def _add(self, name: str, role: str, ip: str, **own: object) -> None:
        settings = {
            'name': name,
            'role': role,
            'zone': 'zone-a',
            'ip': ip,
            'advertise_ip': self.advertised(ip),
            'ports': [self.nodes_port, self.nodes_port + 15],
            'seeds': self.seeds,
            'announce_ms': HEARTBEAT_MS,
            'tolerated_losses': 1,
            'memory_mb': self.memory_mb,
            'grace_s': 8,
            'drain_ms': 2000,
            'retry_ratio': 0.2,
            'retry_slack': 60,
            'retry_window_s': 10,
            'allowance_overage': 0.1,
            'allowance_slack_tokens': 110000,
            'ack_ms': 4000,
        }
        self.programs[name] = Program(
            lab=self, name=name, role=role, settings=settings | own | self.extra
        )

    def advertised(self, ip: str) -> str:
        """Return the address at which other programs reach those of a machine."""
        if not self.is_proxied:
            return ip
        network, _, number = ip.rpartition('.')
        return f'{network}.{200 + int(number)}'

    def seeds_at(self, ips: list[str]) -> list[str]:
        """Return the seeds for control nodes on these machines."""
        return [f'{self.advertised(ip)}:{self.control_port}' for ip in ips]

    async def start_proxies(self, entry_ip: str) -> Partition:
        """Start the proxies; return the partition of one entry."""
        node = f'{self.advertised(entry_ip)}:{self.nodes_port + 1}'
        partition = Partition(node=node)
        for ip in self.control_ips:
            for port in (self.nodes_port, self.nodes_port + 1):
                proxy = NodeProxy(
                    partition=partition,
                    advertised=self.advertised(ip),
                    ip=ip,
                    port=port,
                )
                await proxy.start()
        return partition

    def add_agent(self, ip: str, engine: str) -> None:
        """Add the agent beside a replica."""
        name = f'agent-{ip.rpartition(".")[2]}'
        self._add(name, 'agent', ip, engine=engine)

    def replace_control(self, number: int) -> str:
        """Start an empty control node at a new address in place of one that is gone."""
        ip = f'{self.network}.{60 + number}'
        gone = self.programs[f'control-{number}'].settings
        self.control_ips.remove(gone['ip'])
        self.control_ips.append(ip)
        name = f'control-{number}-new'
        self._add(
            name,
            'control',
            ip,
            control=f'{ip}:{self.control_port}',
            data_folder=str(self.folder / name),
        )
        program = self.programs[name]
        program.settings['seeds'] = gone['seeds']
        program.is_of_first_start = False
        program.start()
        return ip

    def __enter__(self) -> Lab:
        return self

    def __exit__(self, *_: object) -> None:
        for program in self.programs.values():
            program.signal(signal.SIGCONT)
            program.kill()
        if os.environ.get('KEEP_LOGS'):
            print('logs:', self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, what: str, **fields: object) -> None:
        """Add a line to the record."""
        at = time.monotonic() - self.started_at
        line = f'{at:8.3f} {what} ' + ' '.join(f'{k}={v}' for k, v in fields.items())
        self.record.append(line.rstrip())

    def save(self, path: Path) -> None:
        """Write the record."""
        path.write_text('\n'.join(self.record) + '\n')

    def start_programs(self) -> None:
        """Start all programs."""
        for program in self.programs.values():
            program.start()

    def spawn(self, coroutine: object) -> asyncio.Task:
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    def callers(self, number: int = 1) -> tuple[str, int]:
        """Return the address at which an entry serves callers."""
        return self.entry_ips[number - 1], self.callers_port

    async def order(
        self, method: str, path: str, body: object = None, *, ip: str = ''
    ) -> tuple[int, bytes]:
        """Call a control node; return status and body, status 0 without an answer."""
        data = b'' if body is None else json.dumps(body).encode()
        ip = ip or random.choice(self.control_ips)
        try:
            async with asyncio.timeout(1.0 + len(data) / 1e6):
                return await call(
                    (ip, self.control_port),
                    method,
                    path,
                    {'Content-Type': 'application/json'},
                    data,
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return 0, b''

    async def configure(self, document: dict, *, timeout_s: float = 30.0) -> bool:
        """Send a configuration, as the operator does, until it is acknowledged."""
        until = time.monotonic() + timeout_s
        pause = 0.1
        while time.monotonic() < until:
            status, _ = await self.order('PUT', '/pistachiopath/config', document)
            if status:
                self.note('operator', version=document['version'], status=status)
            if status == 200:
                return True
            if status in (400, 409, 412, 413, 422):
                return False
            await asyncio.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return False

    async def ready(self, number: int = 1, timeout_s: float = 30.0) -> bool:
        """Wait until an entry says that it is ready."""
        until = time.monotonic() + timeout_s
        address = (self.entry_ips[number - 1], self.readiness_port)
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
                async with asyncio.timeout(1.0):
                    status, _ = await call(address, 'GET', '/pistachiopath/readyz')
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the headers, names in lower case."""
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a whole body; raises IncompleteReadError."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return b''


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> tuple[int, bytes]:
    """Make one call on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        head = {'Host': HOST, 'Connection': 'close'} | (headers or {})
        if body or method in ('PUT', 'POST'):
            head['Content-Length'] = str(len(body))
        text = f'{method} {path} HTTP/1.1\r\n' + ''.join(
            f'{k}: {v}\r\n' for k, v in head.items()
        )
        writer.write(text.encode() + b'\r\n' + body)
        await writer.drain()
        start, answer = await read_head(reader)
        return int(start.split()[1]), await read_body(reader, answer)
    finally:
        writer.close()


class Replica:
    """A sound server of a plain service, which reports itself to control nodes."""

    ids = itertools.count(1)

    def __init__(
        self, *, lab: Lab, service: str, number: int, work_s: float = 0.05
    ) -> None:
        self.lab = lab
        self.service = service
        self.ip = f'{lab.network}.{100 + number}'
        self.name = f'i-{service}-{next(Replica.ids)}'
        self.born = int(time.time() * 1000)
        self.work_s = work_s
        self.slots = 6
        self.state = 'ready'
        self.runs: list[tuple[float, str]] = []
        self.sequence = 0
        self.answer = self.sound_answer
        self.server: asyncio.Server | None = None
        lab.replicas.append(self)

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f'{self.ip}:{self.lab.replica_port}'

    async def start(self) -> None:
        """Listen and report."""
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.lab.replica_port, limit=8 * 1024 * 1024
        )
        self.lab.spawn(self._report_forever())

    async def _report_forever(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def report_body(self) -> dict:
        """Return what it says of itself."""
        self.sequence += 1
        return {
            'backend': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def report(self) -> int:
        """Send one status report to one node after the other until one accepts it."""
        for ip in random.sample(self.lab.control_ips, len(self.lab.control_ips)):
            status, _ = await self.lab.order(
                'PUT',
                f'/pistachiopath/replicas/{self.name}',
                self.report_body(),
                ip=ip,
            )
            if 200 <= status < 300:
                return status
        return 0

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                start, headers = await read_head(reader)
                method, path, _ = start.split(' ')
                body = await read_body(reader, headers)
                await self.answer(method, path, headers, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def sound_answer(self, method, path, headers, body, reader, writer) -> None:  # noqa: ANN001, PLR0913
        """Answer as a sound server does."""
        request = headers.get('request-id', '')
        expected = headers.get('expect-replica', self.name)
        if expected != self.name:
            writer.write(b'HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n')
            writer.write(f'Request-Id: {request}\r\nContent-Length: 0\r\n\r\n'.encode())
            return
        self.runs.append((time.monotonic(), request))
        await asyncio.sleep(self.work_s)
        data = f'{request} {path} {len(body)} '.encode() + b'x' * 760
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
            f'Replica-Signature: {self.name}.{len(self.runs)}\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'.encode()
            + data
        )
        await writer.drain()


def document(version: int, **changes: object) -> dict:
    """Return a configuration with a safe and an unsafe route to one service."""
    route = {
        'hostname': HOST,
        'timeout_ms': 3000,
        'target_latency_ms': 400,
        'priority': 1,
        'backend': 'desk',
        'attempts': 2,
        'public': False,
        'session_affinity': False,
        'stream_resume': False,
        'tpot_target_ms': 0,
    }
    return {
        'version': version,
        'routes': [
            {'name': 'r-safe', 'path_prefix': '/safe/', 'route_type': 'safe'} | route,
            {'name': 'r-once', 'path_prefix': '/once/', 'route_type': 'unsafe'}
            | route
            | {'attempts': 1},
        ],
        'backends': [
            {
                'name': 'desk',
                'health_check': '/healthz',
                'max_conns': 120,
                'protocol': 'h1',
                'tls': False,
            }
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    } | changes


def request_head(request: str, *, deadline_ms: int = 3000) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        'Request-Id': request,
        'Deadline-Ms': str(deadline_ms),
        'Authorization': f'Token {KEY}',
    }


async def _play(
    lab: Lab, play: Callable[[Lab, bool], Awaitable[int]], trouble: bool
) -> int:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await play(lab, trouble)
    finally:
        for other in lab.tasks:
            other.cancel()
        await asyncio.gather(*lab.tasks, return_exceptions=True)
        await asyncio.sleep(0.2)


def run_case(
    play: Callable[[Lab, bool], Awaitable[int]],
    folder: Path,
    *,
    trouble: bool,
    descriptors: int = 0,
    **deployment: object,
) -> None:
    """Play a case on a deployment, write its record and exit with its code.

    The code is 2 if the case could not run, also for want of `descriptors`.
    """
    code = EXIT_NOT_RUN
    if resource.getrlimit(resource.RLIMIT_NOFILE)[0] < descriptors:
        print('too few descriptors for this case')
        sys.exit(code)
    with Lab(**deployment) as lab:
        try:
            code = asyncio.run(_play(lab, play, trouble))
        except (Exception, asyncio.CancelledError):
            traceback.print_exc()
        finally:
            lab.save(folder / 'record.txt')
    sys.exit(code)
