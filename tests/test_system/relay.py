"""A TCP relay that can stop forwarding without closing connections."""

from __future__ import annotations

import socket
import threading

from tools.free_address import free_address


class Relay:
    """Forwards connections to an address, except between `cut` and `heal`."""

    def __init__(self, *, target: str):
        self.address = free_address()
        self._target = target
        self._is_forwarding = threading.Event()
        self._is_forwarding.set()
        host, port = self.address.split(':')
        self._server = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        self._is_forwarding.clear()

    def heal(self):
        self._is_forwarding.set()

    def _accept(self):
        while True:
            client, _ = self._server.accept()
            host, port = self._target.split(':')
            try:
                server = socket.create_connection((host, int(port)))
            except OSError:
                client.close()
                continue
            for pair in ((client, server), (server, client)):
                threading.Thread(target=self._copy, args=pair, daemon=True).start()

    def _copy(self, source, sink):
        try:
            while data := source.recv(65536):
                self._is_forwarding.wait()
                sink.sendall(data)
        except OSError:
            pass
        source.close()
        sink.close()
