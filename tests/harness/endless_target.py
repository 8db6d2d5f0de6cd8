"""A target in a process of its own that writes faster than anybody can read.

As a program it takes head, piece, end and number of pieces, in hexadecimal and
decimal; it prints its port, and a line for each connection that has ended.
"""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
import threading

import gevent

REQUEST_END = b'\r\n\r\n'
BLOCK_BYTES = 65536
POLL_S = 0.01


class EndlessTarget:
    """Accepts connections and writes a head, then `blocks` blocks of one piece.

    Without `blocks` it goes on until the connection is closed.
    """

    def __init__(self, head, piece, end=b'', blocks=0):
        self.pieces = blocks * pieces_in_block(piece)
        words = [head.hex(), piece.hex(), end.hex(), str(blocks)]
        self._process = subprocess.Popen(
            [sys.executable, __file__, *words], stdout=subprocess.PIPE
        )
        self.address = f'127.0.0.1:{int(self._process.stdout.readline())}'
        self._lines = []
        threading.Thread(target=self._read, daemon=True).start()

    def has_closed(self, within_s):
        """Return whether a connection ends within some seconds."""
        for _ in range(int(within_s / POLL_S)):
            if self._lines:
                return True
            gevent.sleep(POLL_S)
        return False

    def close(self):
        self._process.kill()
        self._process.wait()

    def _read(self):
        self._lines.extend(iter(self._process.stdout.readline, b''))


def pieces_in_block(piece):
    return max(1, BLOCK_BYTES // len(piece))


def main():
    head, piece, end = (bytes.fromhex(word) for word in sys.argv[1:4])
    blocks = int(sys.argv[4])
    block = piece * pieces_in_block(piece)
    listener = socket.create_server(('127.0.0.1', 0), backlog=100)
    print(listener.getsockname()[1], flush=True)

    def write(sock):
        data = b''
        with contextlib.suppress(OSError), sock:
            while REQUEST_END not in data:
                data += sock.recv(BLOCK_BYTES)
            sock.sendall(head)
            if blocks:
                sock.sendall(block * blocks + end)
            while not blocks:
                sock.sendall(block)
            sock.recv(1)
        print('closed', flush=True)

    while True:
        sock, _ = listener.accept()
        threading.Thread(target=write, args=(sock,), daemon=True).start()


if __name__ == '__main__':
    main()
