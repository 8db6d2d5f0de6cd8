"""Replicas that write streams, and callers that read them, in the script's process."""

import asyncio
import contextlib
import json
import time

from .harness import HOST, KEY, REPLICAS_PATH, call

EVENT_S = 0.08


class StreamReplica:
    """One replica: its lifetimes keep their id and address; each has a version.

    It announces itself at the control nodes in turn, as the protocol says.
    """

    def __init__(self, world, controls, service, name, address, version, slots=20):
        self.world = world
        self.controls = controls
        self.service = service
        self.name = name
        self.address = address
        self.version = version
        self.slots = slots
        self.first_report_after_s = 0.0
        self._server = None
        self._writers = set()
        self._beats = None

    async def start(self):
        host, _, port = self.address.rpartition(':')
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.ensure_future(self._announce())
        self.world.record.note(f'{self.name} starts with software {self.version}')

    async def end(self):
        """End the lifetime as a crash does: all connections are reset."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.world.record.note(f'{self.name} ends with software {self.version}')

    async def restart(self, version, down_s=0.5, name=''):
        await self.end()
        await asyncio.sleep(down_s)
        self.version = version
        self.name = name or self.name
        await self.start()

    async def _announce(self):
        number = sum(self.name.encode())
        await asyncio.sleep(self.first_report_after_s)
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    'backend': self.service,
                    'address': self.address,
                    'zone': 'zone-a',
                    'version': self.version,
                    'slots': self.slots,
                    'state': 'ready',
                    'warmup_left_ms': 0,
                    'sequence': self.sequence,
                    'born': self.born_ms,
                }
            ).encode()
            for _ in self.controls:
                address = self.controls[number % len(self.controls)]
                answer = await call(address, 'PUT', REPLICAS_PATH + self.name, body)
                if answer and answer[0] == 200:
                    break
                number += 1
            if self.sequence == 1:
                self.world.record.note(f'{self.name} is registered')
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        fields = {}
        for line in head.decode('latin-1').split('\r\n')[1:]:
            name, _, value = line.partition(':')
            fields[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        request = fields['request-id']
        if fields.get('expect-replica', self.name) != self.name:
            answer = f'HTTP/1.1 421 X\r\nRequest-Id: {request}\r\nNot-Executed: 1\r\n'
            writer.write(f'{answer}Content-Length: 0\r\n\r\n'.encode())
            return True
        first = int(fields.get('last-event-id', 0)) + 1
        self.world.record.note(
            f'{self.name} ({self.version}) runs {request} from event {first}'
        )
        writer.write(
            f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nReplica-Signature: 1.2.3\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(first, int(body) + 1):
            event = f'id: {number}\ndata: {self.version} {self.name}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


async def read_stream(
    world, entry, path, request, events, seen, timeout_s=15.0, more=()
):
    """Send a request for a stream; append the version of each event to `seen`.

    Returns the status, or `no answer`.
    """
    host, _, port = entry.rpartition(':')
    writer = None
    body = str(events).encode()
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request}',
        f'Authorization: Token {KEY}',
        f'Deadline-Ms: {int(timeout_s * 1000)}',
        f'Content-Length: {len(body)}',
        *more,
    ]
    status = 'no answer'
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            status = (await reader.readline()).split()[1].decode()
            while line := await reader.readline():
                if line.startswith(b'data: '):
                    seen.append(line.split()[1].decode())
                if line == b'0\r\n':
                    break
    except (OSError, TimeoutError, IndexError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    versions = ' '.join(f'{seen.count(v)} of {v}' for v in sorted(set(seen)))
    world.record.note(f'{request}: {status}, events: {versions}')
    return status
