"""HTTP server and scripted targets for tests of HTTP exchanges."""

from __future__ import annotations

import socket

import gevent
import gevent.event
import gevent.socket as gsocket

from pistachiopath.exchange.limits import ExchangeLimits
from pistachiopath.exchange.server import HttpServer

LOOPBACK = '127.0.0.1'
CONNECT_TIMEOUT_S = 5.0


class EchoServer:
    """Server that responds with method, target and body and records requests."""

    def __init__(self, limits=None, handle=None, get_limits=None):
        listener = gsocket.socket()
        listener.bind((LOOPBACK, 0))
        self.port = listener.getsockname()[1]
        listener.close()
        self.requests = []
        self.server = HttpServer(
            address=f'{LOOPBACK}:{self.port}',
            handle=handle or self.echo,
            limits=get_limits or (lambda: limits or ExchangeLimits()),
            name='echo',
        )
        self.server.start()

    def echo(self, conn, req):
        self.requests.append(req)
        conn.respond(200, [], req.method + b' ' + req.target + b' ' + req.body)

    def connect(self):
        return gsocket.create_connection((LOOPBACK, self.port))

    def send_parts(self, *parts):
        """Send the parts one by one; return all bytes until the server closes."""
        sock = self.connect()
        for part in parts:
            try:
                sock.sendall(part)
            except OSError:
                break
            gevent.sleep(0)
        return read_all(sock)


def connect_unaccepted(port, data):
    """Send bytes on a new connection while no greenlet runs that could accept it."""
    sock = socket.create_connection((LOOPBACK, port), CONNECT_TIMEOUT_S)
    sock.sendall(data)
    return gsocket.socket(fileno=sock.detach())


def read_all(sock):
    parts = []
    while True:
        try:
            part = sock.recv(65536)
        except OSError:
            break
        if not part:
            break
        parts.append(part)
    sock.close()
    return b''.join(parts)


class ScriptedTarget:
    """Target that responds to each request with the next scripted bytes.

    A script is a list of connections, each a list of responses.  `CLOSE`
    closes the connection, `RESET` resets it, and `MUTE` sends no response.  A
    response may be a `Paused`.  Until it listens, and after the last connection,
    connections are refused.  With `succeeds` it has the address of a target before.
    """

    def __init__(self, *connections, listens_after_s=0.0, succeeds=None):
        self._listener = gsocket.socket()
        port = 0
        if succeeds is not None:
            port = int(succeeds.address.rpartition(':')[2])
            self._listener.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_REUSEADDR, 1)
        self._listener.bind((LOOPBACK, port))
        self._listens_after_s = listens_after_s
        if not listens_after_s:
            self._listener.listen(16)
        self.address = f'{LOOPBACK}:{self._listener.getsockname()[1]}'
        self._connections = list(connections)
        self.requests = []
        gevent.spawn(self._accept)

    def _accept(self):
        if self._listens_after_s:
            gevent.sleep(self._listens_after_s)
            self._listener.listen(16)
        for script in self._connections:
            sock, _ = self._listener.accept()
            gevent.spawn(self._serve, sock, script)
        self._listener.close()

    def _serve(self, sock, script):
        for response in script:
            if response in (CLOSE, RESET):
                close_socket(sock, reset=response is RESET)
                return
            request = read_request(sock)
            if request is None:
                return
            self.requests.append(request)
            if isinstance(response, Paused):
                response.send(sock)
            elif response is not MUTE:
                sock.sendall(response)
        while sock.recv(65536):
            pass


class Paused:
    """A response in parts: bytes, and silences between them.

    A silence is a number of seconds, or lasts until a `gevent.event.Event` is set.
    """

    def __init__(self, *parts):
        self._parts = parts

    def send(self, sock):
        for part in self._parts:
            if isinstance(part, bytes):
                sock.sendall(part)
            elif isinstance(part, gevent.event.Event):
                part.wait()
            else:
                gevent.sleep(part)


class Held(Paused):
    """A response that is sent once it is released."""

    def __init__(self, response):
        self._released = gevent.event.Event()
        super().__init__(self._released, response)

    def release(self):
        self._released.set()


CLOSE = object()
RESET = object()
MUTE = object()


def close_socket(sock, *, reset):
    if reset:
        linger = b'\x01\x00\x00\x00\x00\x00\x00\x00'
        sock.setsockopt(gsocket.SOL_SOCKET, gsocket.SO_LINGER, linger)
    sock.close()


def read_request(sock):
    data = b''
    while b'\r\n\r\n' not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(value)
    while len(body) < length:
        body += sock.recv(65536)
    return head, body
