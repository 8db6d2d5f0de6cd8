"""Servers of event streams, and callers that take their streams up again."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from lab import HOST, KEY, Replica, document, read_head

if TYPE_CHECKING:
    from lab import Lab

EVENT_S = 0.1
EVENTS = 80
DEADLINE_MS = 15000
SERVICE = 'model'
FIRST_VERSION = 'v1'
REPORT_PATH = '/pistachiopath/report'
# The engine of the service, as the configuration describes it.
ENGINE = {
    'slots': 24,
    'kv_capacity': 236203,
    'kv_token_bytes': 18432,
    'bandwidth_mbps': 370000.0,
    'moves': False,
    'backups': False,
    'stride': 4,
    'most': 12,
    'models': [{'name': 'm'}],
}
# How a connection that breaks off shows.
ENDED = (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError)


def stream_document(version: int) -> dict:
    """Return a configuration with one route of streams that may be resumed."""
    content = document(version)
    content['routes'] = [
        content['routes'][0]
        | {
            'name': 'r-stream',
            'path_prefix': '/stream/',
            'route_type': 'streaming',
            'stream_resume': True,
            'timeout_ms': DEADLINE_MS,
            'target_latency_ms': 600,
            'tpot_target_ms': 800,
            'session_affinity': True,
            'backend': SERVICE,
        }
    ]
    content['backends'] = [content['backends'][0] | {'name': SERVICE, 'engine': ENGINE}]
    return content


class StreamReplica(Replica):
    """A server whose lifetimes follow one another under one id and address.

    A status report arrives at its control node `late_s` after it was sent.
    """

    def __init__(self, *, lab: Lab, number: int, late_s: float = 0.0) -> None:
        super().__init__(lab=lab, service=SERVICE, number=number)
        self.slots = ENGINE['slots']
        lab.add_agent(self.ip, self.address)
        self.version = FIRST_VERSION
        self.late_s = late_s
        self.answer = self.stream_answer
        self.writers: set[asyncio.StreamWriter] = set()
        self.is_up = False

    async def start(self) -> None:
        """Begin a lifetime."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.lab.replica_port, reuse_address=True
        )
        self.is_up = True
        self.reporter = self.lab.spawn(self._report_forever())
        self.lab.note('up', replica=self.name, version=self.version, born=self.born)

    def crash(self) -> None:
        """End the lifetime: reset all connections; reports on their way arrive."""
        self.is_up = False
        self.reporter.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.lab.note('crash', replica=self.name, version=self.version)

    def report_body(self) -> dict:
        """Return what it says of itself."""
        return super().report_body() | {'version': self.version}

    async def _report_forever(self) -> None:
        while True:
            self.lab.spawn(self._deliver(self.report_body()))
            await asyncio.sleep(1.2)

    async def _deliver(self, body: dict) -> None:
        await asyncio.sleep(self.late_s)
        for ip in self.lab.control_ips:
            status, _ = await self.lab.order(
                'PUT', f'/pistachiopath/replicas/{self.name}', body, ip=ip
            )
            if status == 200:
                self.lab.note(
                    'report arrives',
                    replica=self.name,
                    version=body['version'],
                    sequence=body['sequence'],
                    born=body['born'],
                )
                return

    async def stream_answer(self, method, path, headers, body, reader, writer) -> None:  # noqa: ANN001, ARG002, PLR0913
        """Write the events behind the last one that the caller has."""
        if path == REPORT_PATH:
            data = json.dumps({'kv_used': 0, 'kv_total': 236203, 'runs': []}).encode()
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n')
            writer.write(b'Content-Length: %d\r\n\r\n' % len(data) + data)
            return
        request = headers.get('request-id', '')
        version = self.version
        if headers.get('expect-replica', self.name) != self.name:
            writer.write(
                b'HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n'
                + f'Request-Id: {request}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        self.writers.add(writer)
        try:
            first = int(headers.get('last-event-id', '0')) + 1
            self.lab.note(
                'run', request=request, replica=self.name, version=version, first=first
            )
            writer.write(
                f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
                f'Replica-Signature: {self.name}.{self.born}\r\n'
                'Content-Type: text/event-stream\r\n'
                'Transfer-Encoding: chunked\r\n\r\n'.encode()
            )
            for number in range(first, EVENTS + 1):
                event = f'id: {number}\ndata: {version} {number}\n\n'.encode()
                writer.write(b'%x\r\n' % len(event) + event + b'\r\n')
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            self.writers.discard(writer)


class StreamCaller:
    """A caller of one stream, which it takes up again after a broken connection."""

    def __init__(self, *, lab: Lab, number: int, entry: int) -> None:
        self.lab = lab
        self.name = f'stream-{number}'
        self.events: list[tuple[int, str]] = []
        self.is_complete = False
        self._entry = entry

    @property
    def versions(self) -> set[str]:
        """Return the versions whose events it holds."""
        return {version for _, version in self.events}

    async def run(self, *, tries: int, pause_s: float) -> None:
        """Ask for the stream, and for its rest after each broken connection."""
        ends_at = time.monotonic() + DEADLINE_MS / 1000
        first = f'{self.name}-1'
        for attempt in range(1, tries + 1):
            request = f'{self.name}-{attempt}'
            wait_s = pause_s
            left_ms = int((ends_at - time.monotonic()) * 1000)
            if left_ms < 500:
                break
            try:
                async with asyncio.timeout(left_ms / 1000):
                    status, wait_s = await self._attempt(
                        request, first, left_ms, pause_s
                    )
            except ENDED as exc:
                status = type(exc).__name__
            self.lab.note(
                'attempt',
                request=request,
                status=status,
                events=len(self.events),
                versions='+'.join(sorted(self.versions)),
            )
            if self.is_complete:
                return
            await asyncio.sleep(wait_s)

    async def _attempt(
        self, request: str, first: str, left_ms: int, pause_s: float
    ) -> tuple[object, float]:
        reader, writer = await asyncio.open_connection(*self.lab.callers(self._entry))
        try:
            head = (
                f'POST /stream/{self.name} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'Request-Id: {request}\r\nDeadline-Ms: {left_ms}\r\n'
                f'Authorization: Token {KEY}\r\nModel: m\r\nToken-Usage: 200,80\r\n'
                f'Prefix-Hash: aa11:60,{abs(hash(self.name)) % 10**8:x}:140\r\n'
            )
            if self.events:
                head += f'Last-Event-Id: {self.events[-1][0]}\r\nResumes: {first}\r\n'
            writer.write(f'{head}Content-Length: 2\r\n\r\nhi'.encode())
            await writer.drain()
            start, headers = await read_head(reader)
            status = int(start.split()[1])
            if status != 200:
                return status, float(headers.get('retry-after', pause_s))
            while True:
                size = int((await reader.readuntil(b'\r\n'))[:-2], 16)
                data = (await reader.readexactly(size + 2))[:-2]
                if not size:
                    self.is_complete = True
                    return status, 0.0
                for event in data.decode().split('\n\n'):
                    if event:
                        number = int(event.split('\n')[0].split(': ')[1])
                        self.events.append((number, event.split(' ')[-2]))
        finally:
            writer.close()
