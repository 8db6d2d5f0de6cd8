"""A small deployment on loopback: the platform's programs and stand-ins around them.

Stand-ins use asyncio and the standard library alone.  All times are seconds of the
monotonic clock since the start of the rig.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

from .cut import Cut, start_proxy

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = 'case.example'
KEY = 'k3y0fth3c4s3'
TENANT = 'tenant-1'
GRACE_S = 8
# Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PORTS = (7600, 7615)
CALLERS, READINESS, CONTROL, APP = 8221, 8224, 8229, 8080
METRICS = 9464
# Hosts of control nodes, entries, servers and of the proxies before the first two.
HOSTS = (
    *range(1, 4),
    *range(11, 14),
    *range(50, 64),
    *range(101, 104),
    *range(111, 114),
)
# Each kind of program has the first port for messages or one of those after it.
NODE_ROLES = ('control', 'entry')
# Distance of the address of a program from that of the proxy before it.
LINKS = 100
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
NETWORKS = 200
TRIES = 50


def _end_with_parent() -> None:
    """Have the kernel kill the new process if the script is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_network() -> str:
    """Return three numbers of loopback addresses at which all ports used are free.

    It begins at one that depends on the process, so that cases can run side by side.
    """
    pid = os.getpid()
    for number in range(TRIES):
        network = f'127.{20 + (pid + number) % NETWORKS}.{pid // NETWORKS % 250}'
        if all(_is_free(network, host) for host in HOSTS):
            return network
    raise NotStarted


def _is_free(network: str, host: int) -> bool:
    ports = (CALLERS, READINESS, CONTROL, APP, METRICS, *range(PORTS[0], PORTS[0] + 3))
    for port in ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((f'{network}.{host}', port))
            except OSError:
                return False
    return True


class NotStarted(Exception):
    """The deployment did not get ready in time."""


class Record:
    """Writes `record.txt`: one line for each event."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        at = time.monotonic() - self._began_at
        self._file.write(f'{at:8.3f} {text}\n')
        self._file.flush()


class Program:
    """One program of the platform, started as the deploy file says."""

    def __init__(self, role: str, ip: str, settings: dict, folder: Path) -> None:
        self.role = role
        self.ip = ip
        self.name = f'{role}-{ip}'
        self.settings = settings
        self._path = folder / f'{self.name}.toml'
        self.log = folder / f'{self.name}.log'
        self.process: subprocess.Popen | None = None
        self._starts = 0

    def start(self, **changes: object) -> None:
        first = self.role == 'control' and self._starts == 0
        self._starts += 1
        values = self.settings | {'is_first_start': first} | changes
        lines = [f'{key} = {json.dumps(value)}' for key, value in values.items()]
        self._path.write_text('\n'.join(lines) + '\n')
        command = ['python3', '-S', '-m', 'pistachiopath.platform', self.role]
        env = {
            'PATH': os.environ['PATH'],
            'PYTHONPATH': 'target/deps',
            'PISTACHIOPATH_SETTINGS': str(self._path),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [*command, '--metrics-port', str(METRICS)],
                cwd=REPOSITORY,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                process_group=0,
                preexec_fn=_end_with_parent,
            )

    def send(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory that the process shares with no file."""
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            if line.startswith('RssAnon'):
                return int(line.split()[1]) / 1024
        return 0.0


class Rig:
    """Programs and stand-ins of one case; use as an async context manager."""

    def __init__(
        self,
        folder: str,
        *,
        controls: int = 3,
        entries: int = 1,
        memory_mb: int = 150,
        cut: Cut | None = None,
        **extra: object,
    ) -> None:
        self.cut = cut
        self.record = Record(Path(folder))
        self._folder = Path(tempfile.mkdtemp(prefix='case-'))
        self.net = free_network()
        control_ips = [f'{self.net}.{n}' for n in range(1, controls + 1)]
        entry_ips = [f'{self.net}.{n}' for n in range(11, 11 + entries)]
        self.seeds = [f'{self.link_ip(ip)}:{CONTROL}' for ip in control_ips]
        self.extra = extra
        self.memory_mb = memory_mb
        self.controls = [self._program('control', ip) for ip in control_ips]
        self.entries = [self._program('entry', ip) for ip in entry_ips]
        self.version = 0
        self.servers: list[asyncio.AbstractServer] = []
        self.tasks: list[asyncio.Task] = []

    def ip(self, number: int) -> str:
        return f'{self.net}.{number}'

    def link_ip(self, ip: str) -> str:
        """Return the address at which other programs reach the one at `ip`."""
        if self.cut is None:
            return ip
        host, _, number = ip.rpartition('.')
        return f'{host}.{int(number) + LINKS}'

    def node_link(self, program: Program) -> str:
        port = PORTS[0] + NODE_ROLES.index(program.role)
        return f'{self.link_ip(program.ip)}:{port}'

    def _program(self, role: str, ip: str) -> Program:
        settings: dict[str, object] = {
            'name': f'edge-{ip}',
            'role': role,
            'zone': 'zone-a',
            'ip': ip,
            'ports': list(PORTS),
            'seeds': self.seeds,
            'announce_ms': 1200,
            'tolerated_losses': 1,
            'memory_mb': self.memory_mb,
            'grace_s': GRACE_S,
            'drain_ms': 2000,
            'retry_ratio': 0.2,
            'retry_slack': 60,
            'retry_window_s': 10,
            'allowance_overage': 0.1,
            'allowance_slack_tokens': 110000,
        } | self.extra
        if self.cut is not None:
            settings['advertise_ip'] = self.link_ip(ip)
        if role == 'control':
            data = self._folder / f'data-{ip}'
            data.mkdir()
            settings |= {'control': f'{ip}:{CONTROL}', 'data_folder': str(data)}
        else:
            settings |= {'callers': f'{ip}:{CALLERS}', 'readiness': f'{ip}:{READINESS}'}
        return Program(role, ip, settings, self._folder)

    async def __aenter__(self) -> Rig:
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        programs = (*self.controls, *self.entries)
        if self.cut is not None:
            for program in programs:
                host, _, port = self.node_link(program).rpartition(':')
                link, target = (host, int(port)), (program.ip, int(port))
                self.servers.append(await start_proxy(self.cut, link, target))
        for program in programs:
            program.start()

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        for program in (*self.controls, *self.entries):
            program.kill()
        if os.environ.get('KEEP'):
            print(self._folder, file=sys.stderr)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def spawn(self, work: object) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def call(
        self, ip: str, method: str, path: str, body: dict | bytes | None = None
    ) -> tuple[int, bytes]:
        """Call a control node; return status 0 if there is no response."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        if body is None:
            data = b''
        try:
            return await asyncio.wait_for(
                request((ip, CONTROL), method, path, {}, data), 1.0
            )
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            return 0, b''

    async def configure(self, content: dict) -> None:
        """Send a configuration to any control node until it is acknowledged."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            for program in self.controls:
                status, _ = await self.call(
                    program.ip, 'PUT', '/pistachiopath/config', content
                )
                if status == 200:
                    self.record(f'configuration {content["version"]} acknowledged')
                    return
            await asyncio.sleep(0.2)
        raise NotStarted

    async def wait_ready(self) -> None:
        until = time.monotonic() + 20
        for program in self.entries:
            while time.monotonic() < until:
                try:
                    status, _ = await asyncio.wait_for(
                        request(
                            (program.ip, READINESS), 'GET', '/pistachiopath/readyz', {}
                        ),
                        1.0,
                    )
                except (TimeoutError, OSError, asyncio.IncompleteReadError):
                    status = 0
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise NotStarted


def configuration(version: int, services: dict[str, dict], routes: list[dict]) -> dict:
    """Return a configuration of the form that `PROTOCOL.md` shows."""
    return {
        'version': version,
        'routes': [
            {
                'hostname': HOST,
                'timeout_ms': 5000,
                'target_latency_ms': 500,
                'priority': 0,
                'attempts': 2,
                'public': False,
                'session_affinity': False,
                'stream_resume': False,
                'tpot_target_ms': 400,
                'name': f'r-{number}',
            }
            | route
            for number, route in enumerate(routes)
        ],
        'backends': [
            {
                'name': name,
                'health_check': '/healthz',
                'max_conns': 640,
                'protocol': 'h1',
                'tls': False,
            }
            | extra
            for name, extra in services.items()
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 0}],
    }


class Head:
    """Start line and headers of a message; names are in lower case."""

    def __init__(self, data: bytes) -> None:
        start, *lines = data.decode('latin-1').rstrip('\r\n').split('\r\n')
        self.start = start
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            self.headers[name.strip().lower()] = value.strip()

    def get(self, name: str, default: str = '') -> str:
        return self.headers.get(name, default)


async def read_head(reader: asyncio.StreamReader) -> Head:
    return Head(await reader.readuntil(b'\r\n\r\n'))


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Return a body that has a length or chunks, or that ends with the connection."""
    if 'chunked' in head.get('transfer-encoding'):
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return body
            body += chunk[:-2]
    if head.get('content-length'):
        return await reader.readexactly(int(head.get('content-length')))
    if head.start.startswith('HTTP/'):
        return await reader.read()
    return b''


def message(start: str, headers: dict[str, object], body: bytes = b'') -> bytes:
    lines = [start, *(f'{name}: {value}' for name, value in headers.items())]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


async def request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, object],
    body: bytes = b'',
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body."""
    reader, writer = await asyncio.open_connection(*address, limit=2**24)
    try:
        all_headers = {'Host': HOST, **headers, 'Content-Length': len(body)}
        writer.write(message(f'{method} {path} HTTP/1.1', all_headers, body))
        head = await read_head(reader)
        return int(head.start.split()[1]), await read_body(reader, head)
    finally:
        writer.close()


class Replica:
    """A server of a service that announces itself, answers, and records what runs.

    `handle` gets the replica, the head and body of a request, and the connection; it
    returns whether the connection is kept.  Without it each request is answered 200.
    """

    def __init__(
        self,
        rig: Rig,
        service: str,
        number: int,
        *,
        handle: object = None,
        port: int = APP,
    ) -> None:
        self.rig = rig
        self.service = service
        self.address = (rig.ip(number), port)
        self.id = f'i-{service}-{number}'
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.handle = handle or answer
        self.ran: list[str] = []
        self.arrived: list[str] = []
        self.announces = True
        self.version = 'v1'
        self.slots = 8
        self.reports_to = rig.controls
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(
            self._serve, *self.address, limit=2**24, backlog=512
        )
        self.rig.servers.append(self.server)
        self.rig.spawn(self._announce())

    def report(self) -> dict:
        self.sequence += 1
        return {
            'backend': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': 'zone-a',
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def tell(self) -> bool:
        """Send one status report; return whether any control node acknowledged it."""
        return await self.send_report(self.report())

    async def send_report(self, body: dict) -> bool:
        for program in self.reports_to:
            status, _ = await self.rig.call(
                program.ip, 'PUT', f'/pistachiopath/replicas/{self.id}', body
            )
            if status == 200:
                return True
        return False

    async def _announce(self) -> None:
        while True:
            if self.announces:
                acknowledged = await self.tell()
            await asyncio.sleep(1.2 if acknowledged else 0.3)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                rid = head.get('request-id')
                if rid:
                    self.arrived.append(rid)
                if not await self.handle(self, head, body, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def begin_run(self, head: Head) -> dict[str, object]:
        """Record that a request runs; return the headers of its answer."""
        rid = head.get('request-id')
        self.ran.append(rid)
        self.rig.record(f'{self.id} runs {rid}')
        return {'Request-Id': rid, 'Replica-Signature': f'{self.id}.{len(self.ran)}'}


async def answer(
    replica: Replica, head: Head, body: bytes, writer: asyncio.StreamWriter
) -> bool:
    """Answer a request with success."""
    headers = replica.begin_run(head)
    text = b'done ' + head.get('request-id').encode()
    headers['Content-Length'] = len(text)
    writer.write(message('HTTP/1.1 200 OK', headers, text))
    await writer.drain()
    return True


def caller_headers(rid: str, deadline_ms: int = 5000, **extra: object) -> dict:
    return {
        'Request-Id': rid,
        'Deadline-Ms': deadline_ms,
        'Authorization': f'Token {KEY}',
        **{name.replace('_', '-'): value for name, value in extra.items()},
    }


def raise_descriptor_limit(number: int) -> None:
    import resource

    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(number, hard), hard))


class Platform:
    """Does to a program what the provider does: ends it above `memory_mb`, starts it.

    Only the anonymous resident memory is counted: neither the pages of the interpreter
    and of libraries, which processes share, nor what waits in the kernel.
    """

    RESTART_S = 1.0

    def __init__(self, rig: Rig, program: Program) -> None:
        self._rig = rig
        self._program = program
        self.peak_mb = 0.0
        self.ends = 0

    async def watch(self) -> None:
        name = self._program.name
        while True:
            await asyncio.sleep(0.05)
            if self._program.is_running:
                now_mb = self._program.memory_mb()
                self.peak_mb = max(self.peak_mb, now_mb)
                if now_mb <= self._rig.memory_mb:
                    continue
                limit = self._rig.memory_mb
                self._rig.record(
                    f'{name} uses {now_mb:.1f} MB of {limit} and is killed'
                )
                self._program.kill()
            self.ends += 1
            self._rig.record(f'{name} has ended {self.ends} times')
            await asyncio.sleep(self.RESTART_S)
            self._program.start()


async def watch_ends(rig: Rig, *, length_s: float, times: int) -> list[Platform]:
    """Watch all entries until each has ended so often, or the time is over."""
    platforms = [Platform(rig, entry) for entry in rig.entries]
    for platform in platforms:
        rig.spawn(platform.watch())
    until = time.monotonic() + length_s
    while time.monotonic() < until and min(p.ends for p in platforms) < times:
        await asyncio.sleep(0.1)
    return platforms


def say(rig: Rig, *lines: str) -> None:
    """Write the results to the record and to the terminal."""
    for line in lines:
        rig.record(line)
        print(line)


class SoundCallers:
    """Sends one request to a sound service every `period_s`, and counts answers."""

    def __init__(self, rig: Rig, path: str, body: bytes, period_s: float) -> None:
        self._rig = rig
        self._path = path
        self._body = body
        self._period_s = period_s
        self.answers: dict[str, int] = {}

    async def run(self) -> None:
        number = 0
        while True:
            number += 1
            entry = self._rig.entries[number % len(self._rig.entries)]
            self._rig.spawn(self._send(f's{number}', (entry.ip, CALLERS)))
            await asyncio.sleep(self._period_s)

    async def _send(self, rid: str, address: tuple[str, int]) -> None:
        headers = caller_headers(rid)
        try:
            status, _ = await asyncio.wait_for(
                request(address, 'POST', self._path + rid, headers, self._body), 6
            )
            outcome = str(status)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
            outcome = f'no answer ({type(exc).__name__})'
        self.answers[outcome] = self.answers.get(outcome, 0) + 1
        self._rig.record(f'sound request {rid}: {outcome}')


def main(case: object) -> None:
    """Run a case, which returns whether the rule held, and exit as the issue says."""
    try:
        has_held = asyncio.run(_until_stopped(case))
    except NotStarted:
        print('the deployment did not start')
        sys.exit(COULD_NOT_RUN)
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    print('the rule held' if has_held else 'the rule was broken')
    sys.exit(HELD if has_held else BROKEN)


async def _until_stopped(case: object) -> bool:
    """Run a case; SIGTERM cancels it, so that its programs are ended too."""
    task = asyncio.ensure_future(case())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task
