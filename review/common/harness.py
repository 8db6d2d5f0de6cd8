"""What the scripts of this review share: processes, links, clients, the record.

Only the standard library is used.  Everything listens on loopback addresses.  One
address stands for one machine; other nodes reach a control node or an entry at its
link, a proxy in this process, which can cut the machine off.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
CONFIG_PATH = '/pistachiopath/config'
REPLICAS_PATH = '/pistachiopath/replicas/'
KEY = 'k1n1view0n1y0u7'
HOST = 'review.example'

# The bounds that the site sheets give.
CONTACT_WINDOW_S = 3.0
CONFIG_S = 2.0
CATCH_UP_S = 4.0
ACK_S = 4.0


class CannotRun(Exception):
    """The case could not be set up; nothing is known about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def note(self, text):
        self._file.write(f'{time.monotonic() - self._began:8.3f} {text}\n')
        self._file.flush()


class Network:
    """Loopback addresses that no other run of a script is likely to use."""

    def __init__(self):
        pid = os.getpid()
        self._prefix = f'127.{200 + pid % 50}.{pid // 50 % 250}'
        self.ports = {}

    def ip(self, number):
        return f'{self._prefix}.{number}'

    def port(self, name):
        """Return a port that is free at the moment, the same for one name."""
        while name not in self.ports:
            with socket.socket() as sock:
                sock.bind((self.ip(1), 0))
                port = sock.getsockname()[1]
            if port not in self.ports.values():
                self.ports[name] = port
        return self.ports[name]


class Program:
    """One program of the platform, started with the command of the deploy file."""

    def __init__(self, world, name, role, settings, metrics_port):
        self.world = world
        self.name = name
        self.role = role
        self.settings = settings
        self.process = None
        self._metrics_port = metrics_port
        self._path = world.folder / f'{name}.toml'
        self.log = world.folder / f'{name}.log'

    def start(self, first=False):
        settings = self.settings | {'is_first_start': first}
        lines = [f'{key} = {json.dumps(value)}' for key, value in settings.items()]
        self._path.write_text('\n'.join(lines) + '\n')
        env = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ}
        env['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        env['PISTACHIOPATH_SETTINGS'] = str(self._path)
        command = ['python3', '-S', '-m', 'pistachiopath.platform', self.role]
        command += ['--metrics-port', str(self._metrics_port)]
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.world.record.note(f'start {self.name} pid {self.process.pid}')

    def signal(self, number):
        self.world.record.note(f'signal {signal.Signals(number).name} to {self.name}')
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def log_lines(self, event):
        """Return the lines of an event that the program has logged."""
        if not self.log.exists():
            return []
        text = self.log.read_text(errors='replace')
        return [line for line in text.splitlines() if event in line]


class Link:
    """Forwards connections to one machine; `world.cut_off` holds what is cut off.

    Bytes of a connection between machines that are cut off from each other wait, as
    on a network that drops packets, and new connections hang.  With `world.resets` such
    connections are reset instead, and new ones are as soon as they say whose they are.
    """

    def __init__(self, world, name, address, target):
        self.world = world
        self.name = name
        self._address = address
        self._target = target

    async def start(self):
        host, port = self._address
        server = await asyncio.start_server(self._forward, host, port)
        self.world.servers.append(server)

    async def _forward(self, reader, writer):
        pair = {'sender': ''}
        try:
            there = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pair['name'] = self.name
        pair['writers'] = (writer, there[1])
        self.world.pairs.append(pair)
        back = asyncio.ensure_future(self._copy(pair, there[0], writer, False))
        await self._copy(pair, reader, there[1], True)
        writer.close()
        there[1].close()
        back.cancel()
        self.world.pairs.remove(pair)

    async def _copy(self, pair, source, sink, is_in):
        try:
            while data := await source.read(65536):
                if is_in and not pair['sender']:
                    pair['sender'] = self.world.sender_in(data)
                while self.world.is_cut(pair['sender'], self.name):
                    if self.world.resets:
                        reset(pair)
                        return
                    await asyncio.sleep(0.01)
                sink.write(data)
                await sink.drain()
            while self.world.is_cut(pair['sender'], self.name):
                await asyncio.sleep(0.01)
            sink.close()
        except (OSError, asyncio.CancelledError):
            sink.transport.abort()


def reset(pair):
    for writer in pair['writers']:
        writer.transport.abort()


class World:
    """A small deployment: control nodes, entries, agents, links and stand-ins."""

    def __init__(self, case_folder):
        self.network = Network()
        self.record = Record(case_folder)
        self.servers = []
        self.programs = {}
        self.cut_off = set()
        self.resets = False
        self.pairs = []
        self.addresses = {}
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self._temporary.name)
        self.nodes_port = self._free_block()

    def _free_block(self):
        """Return the first of three ports for messages between nodes."""
        for _ in range(200):
            first = random.randrange(20000, 30000)
            with contextlib.suppress(OSError):
                for port in range(first, first + 3):
                    with socket.socket() as sock:
                        sock.bind((self.network.ip(1), port))
                return first
        raise CannotRun('no free ports')

    def sender_in(self, data):
        for address, name in self.addresses.items():
            if address.encode() in data:
                return name
        return ''

    def cut(self, *names, resets=False):
        """Cut programs off from all others until `heal`."""
        how = 'connections are reset' if resets else 'nothing passes'
        self.record.note(f'{", ".join(names)} cut off from the other nodes: {how}')
        self.cut_off, self.resets = set(names), resets
        for pair in list(self.pairs) if resets else ():
            if self.is_cut(pair['sender'], pair['name']):
                reset(pair)

    def heal(self):
        self.cut_off = set()
        self.record.note('all nodes reach one another')

    def is_cut(self, sender, receiver):
        if not sender:
            return False
        return (sender in self.cut_off) != (receiver in self.cut_off)

    async def add_node(self, name, role, number, seeds, **more):
        """Add a control node or an entry behind a link of its own."""
        ip, link_ip = self.network.ip(number), self.network.ip(100 + number)
        port = self.nodes_port + ('control', 'entry').index(role)
        self.addresses[f'{link_ip}:{port}'] = name
        await Link(self, name, (link_ip, port), (ip, port)).start()
        settings = self._settings(name, role, ip, seeds) | {'advertise_ip': link_ip}
        self.programs[name] = Program(
            self, name, role, settings | more, self.network.port(f'metrics-{role}')
        )
        return self.programs[name]

    def add_agent(self, name, ip, seeds, engine):
        settings = self._settings(name, 'agent', ip, seeds) | {'engine': engine}
        self.programs[name] = Program(
            self, name, 'agent', settings, self.network.port('metrics-agent')
        )
        return self.programs[name]

    def _settings(self, name, role, ip, seeds):
        return {
            'name': name,
            'role': role,
            'zone': 'zone-a',
            'ip': ip,
            'ports': [self.nodes_port, self.nodes_port + 2],
            'seeds': seeds,
            'announce_ms': 1200,
            'grace_s': 8,
            'drain_ms': 2000,
            'retry_ratio': 0.2,
            'retry_slack': 60,
            'retry_window_s': 10,
            'allowance_overage': 0.1,
            'allowance_slack_tokens': 110000,
            'tolerated_losses': 1,
        }

    async def add_controls(self, count=3):
        """Add control nodes with a disk; return them with their API addresses."""
        port = self.network.port('control-api')
        seeds = [f'{self.network.ip(100 + n)}:{port}' for n in range(1, count + 1)]
        controls = {}
        for number in range(1, count + 1):
            name = f'control-{number}'
            data = self.folder / f'{name}.data'
            data.mkdir()
            address = f'{self.network.ip(number)}:{port}'
            await self.add_node(
                name, 'control', number, seeds, control=address, data_folder=str(data)
            )
            controls[name] = address
        return controls, seeds

    def close(self):
        for program in self.programs.values():
            if program.is_running:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
                program.process.wait()
        for server in self.servers:
            server.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for log in self.folder.glob('*.log'):
                Path(keep, log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


async def call(address, method, path, body=b'', headers=(), timeout_s=1.0):
    """Send one request; return its status, headers and body, or None without one."""
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            head = [f'{method} {path} HTTP/1.1', f'Host: {HOST}', 'Connection: close']
            head += [f'{name}: {value}' for name, value in headers]
            if body or method in ('PUT', 'POST'):
                head.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join([*head, '', '']).encode() + body)
            raw = await reader.read(-1)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    top, found, rest = raw.partition(b'\r\n\r\n')
    if not found:
        return None
    lines = top.decode('latin-1').split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        fields[name.strip().lower()] = value.strip()
    return int(lines[0].split()[1]), fields, rest


def document(version, routes=(), services=('desk',), marker=''):
    """Return a configuration with the routes and one that names its version."""
    return {
        'version': version,
        'routes': [
            *routes,
            route(f'version-{version}{marker}', services[0]),
        ],
        'backends': [
            {'name': name, 'health_check': '/healthz', 'max_conns': 120}
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'tenant', 'api_keys': [KEY], 'priority': 0}],
    }


def route(
    name, service, kind='safe', timeout_ms=3000, objective_ms=400, attempts=2, **more
):
    return {
        'name': f'r-{name}',
        'hostname': HOST,
        'path_prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': objective_ms,
        'priority': 0,
        'backend': service,
        'attempts': attempts,
        'public': False,
    } | more


class Operator:
    """Sends changes and reads, each to any node until there is a clear answer."""

    def __init__(self, world, controls):
        self.world = world
        self.controls = controls
        self.acked = {}

    async def put(self, content, nodes=None, tries=20):
        """Send a change until it is acknowledged; return whether it was."""
        body = json.dumps(content).encode()
        version = content['version']
        for number in range(tries):
            for name in nodes or list(self.controls):
                answer = await call(self.controls[name], 'PUT', CONFIG_PATH, body)
                status = answer[0] if answer else None
                if status != 200:
                    self.world.record.note(f'change {version} at {name}: {status}')
                    continue
                self.acked[version] = time.monotonic()
                self.world.record.note(f'change {version} at {name}: acknowledged')
                return True
            await asyncio.sleep(0.1 * (number + 1))
        return False

    async def read(self, name, timeout_s=1.0, quiet=False):
        """Read the configuration at a node; return its version, or None."""
        sent_at = time.monotonic()
        answer = await call(
            self.controls[name], 'GET', CONFIG_PATH, timeout_s=timeout_s
        )
        if answer is None or answer[0] != 200:
            if not quiet:
                status = answer[0] if answer else None
                self.world.record.note(f'read at {name}: {status}')
            return None, sent_at
        version = json.loads(answer[2])['version']
        if not quiet:
            self.world.record.note(f'read at {name}: version {version}')
        return version, sent_at


def run_case(main, case_folder):
    """Run a case and exit with its code: 0 held, 1 broken, 2 could not run."""
    # Whoever ends the script early ends all that it started.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(2))
    world = World(case_folder)
    code = 2
    try:

        async def bounded():
            async with asyncio.timeout(115):
                return await main(world)

        code = 1 if asyncio.run(bounded()) else 0
        world.record.note('the rule was broken' if code else 'the rule held')
    except CannotRun as exc:
        world.record.note(f'could not run: {exc}')
    except TimeoutError:
        world.record.note('could not run: out of time')
    except Exception as exc:
        # An error of the script says nothing of the rule.
        traceback.print_exc()
        world.record.note(f'could not run: {exc!r}')
    finally:
        world.close()
    raise SystemExit(code)
