"""Servers of streams whose events name their version, and callers that come back."""

from __future__ import annotations

import asyncio
import contextlib
import time

from .rig import (
    CALLERS,
    HOST,
    Head,
    Replica,
    Rig,
    caller_headers,
    message,
    read_head,
)

EVENTS = 100
EVENT_EVERY_S = 0.1
DEADLINE_MS = 15000
# Callers give up after so long without an event; they come back a few times.
GAP_S = 2.0
TRIES = 6


class StreamServer(Replica):
    """A server whose events name its version; it can start again under its id.

    Its reports arrive `late_s` after they were sent, also if it has crashed meanwhile.
    """

    def __init__(self, rig: Rig, service: str, number: int) -> None:
        super().__init__(rig, service, number, handle=stream)
        self.open: set[asyncio.StreamWriter] = set()
        self.late_s = 0.0

    async def tell(self) -> bool:
        body = self.report()
        if not self.late_s:
            return await self.send_report(body)
        self.rig.spawn(self._tell_late(body))
        return True

    async def _tell_late(self, body: dict) -> None:
        await asyncio.sleep(self.late_s)
        await self.send_report(body)
        self.rig.record(f'report of {self.id}, {body["version"]}, arrives late')

    def crash(self) -> None:
        self.announces = False
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def start_again(self, version: str, *, first_report_s: float = 0.0) -> None:
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.rig.servers.append(self.server)
        await asyncio.sleep(first_report_s)
        self.announces = True
        await self.tell()
        self.rig.record(f'{self.id} reports as {version}')


async def stream(
    server: StreamServer, head: Head, body: bytes, writer: asyncio.StreamWriter
) -> bool:
    headers = server.begin_run(head)
    headers['Content-Type'] = 'text/event-stream'
    headers['Transfer-Encoding'] = 'chunked'
    first = int(head.get('last-event-id', '0')) + 1
    version = server.version
    server.open.add(writer)
    try:
        writer.write(message('HTTP/1.1 200 OK', headers))
        for number in range(first, EVENTS + 1):
            event = f'id: {number}\ndata: {version}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_EVERY_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
    finally:
        server.open.discard(writer)
    return True


class Caller:
    """Takes one stream, and takes it up again at another entry if it breaks off."""

    def __init__(self, rig: Rig, name: str) -> None:
        self._rig = rig
        self.name = name
        self.last_event = 0
        self.versions: set[str] = set()
        self.has_come_back = False
        self.has_gone_on = False

    async def begin(self, ip: str) -> None:
        await self._send(ip, self.name, {})

    async def come_back(self, ip: str) -> None:
        """Take the stream up again, as often as a client retries."""
        self.has_come_back = True
        before = self.last_event
        for number in range(TRIES):
            more = {'Last-Event-Id': before, 'Resumes': self.name}
            retry_s = await self._send(ip, f'{self.name}.back{number}', more)
            if self.last_event > before:
                self.has_gone_on = True
                return
            await asyncio.sleep(retry_s)

    async def _send(self, ip: str, rid: str, more: dict) -> float:
        """Read a stream to its end; return after how long to come back."""
        headers = caller_headers(rid, DEADLINE_MS) | {
            'Host': HOST,
            'Model': 'm',
            'Token-Usage': '100,100',
            'Prefix-Hash': f'aa:50,{self.name}:50',
            'Content-Length': 0,
        }
        status = 'no answer'
        retry_s = 0.5
        with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
            reader, writer = await asyncio.open_connection(ip, CALLERS)
            start = f'POST /stream/{self.name} HTTP/1.1'
            writer.write(message(start, headers | more))
            head = await asyncio.wait_for(read_head(reader), GAP_S)
            status = head.start.split()[1]
            retry_s = float(head.get('retry-after', '0.5'))
            while status == '200':
                line = await asyncio.wait_for(reader.readline(), GAP_S)
                if line in (b'', b'0\r\n'):
                    break
                self._read(line.decode().strip())
            writer.close()
        self._rig.record(
            f'{rid} at {ip}: {status}, events to {self.last_event} '
            f'of {sorted(self.versions)}'
        )
        return retry_s

    def _read(self, line: str) -> None:
        if line.startswith('id: '):
            self.last_event = int(line[4:])
        elif line.startswith('data: '):
            self.versions.add(line[6:])


def stream_route(service: str, *, attempts: int = 2) -> dict:
    return {
        'path_prefix': '/stream/',
        'route_type': 'streaming',
        'stream_resume': True,
        'session_affinity': True,
        'timeout_ms': DEADLINE_MS,
        'backend': service,
        'attempts': attempts,
    }
