"""A replica that is sound until it is told to write without end, as a process.

Usage: replica.py ADDRESS ID RECORD_FILE [KIND]
With a KIND it writes bytes without end, after SIGUSR1, in place of one answer, until
the caller closes: `head` (interim heads, no final one), `body` (a body of short
chunks), `late` (the answer to another request, whose body does not end).
"""

import signal
import socketserver
import sys
import threading
import time
from pathlib import Path

ADDRESS, REPLICA, RECORD = sys.argv[1:4]
KIND = sys.argv[4] if len(sys.argv) > 4 else ''
WORK_S = 0.02
is_faulty = threading.Event()
signal.signal(signal.SIGUSR1, lambda *_: is_faulty.set())
lock = threading.Lock()
Path(RECORD).write_text('')


def note(text):
    with lock, Path(RECORD).open('a') as record:
        record.write(f'{time.time():.3f} {REPLICA} {text}\n')


class Handler(socketserver.StreamRequestHandler):
    disable_nagle_algorithm = True

    def handle(self):
        while self.serve():
            pass

    def serve(self):
        line = self.rfile.readline()
        if not line:
            return False
        fields = {}
        while (header := self.rfile.readline()) not in (b'\r\n', b''):
            name, _, value = header.decode('latin-1').partition(':')
            fields[name.strip().lower()] = value.strip()
        body = self.rfile.read(int(fields.get('content-length', 0)))
        request = fields.get('request-id', '')
        if fields.get('expect-replica', REPLICA) != REPLICA:
            self.answer(421, request, b'', 'Not-Executed: 1\r\n')
            return True
        note(f'runs {request} {line.decode("latin-1").strip()} {len(body)} B')
        if KIND and is_faulty.is_set():
            is_faulty.clear()
            self.write_without_end(request)
            return False
        time.sleep(WORK_S)
        self.answer(200, request, b'y' * 800, 'Replica-Signature: 1.2.3\r\n')
        return True

    def answer(self, status, request, body, more):
        head = f'HTTP/1.1 {status} X\r\nRequest-Id: {request}\r\n{more}'
        head += f'Keep-Alive: timeout=5\r\nContent-Length: {len(body)}\r\n\r\n'
        self.wfile.write(head.encode() + body)

    def write_without_end(self, request):
        note(f'writes without end in place of the answer to {request}')
        try:
            if KIND == 'head':
                piece = b'HTTP/1.1 100 Continue\r\n\r\n' * 2000
            else:
                named = request if KIND == 'body' else f'{request}-before'
                head = f'HTTP/1.1 200 OK\r\nRequest-Id: {named}\r\n'
                head += 'Replica-Signature: 1.2.3\r\nTransfer-Encoding: chunked\r\n\r\n'
                self.wfile.write(head.encode())
                piece = b'8\r\nnonsense\r\n' * 4000
            while True:
                self.wfile.write(piece)
        except OSError:
            note(f'the caller has closed the connection of {request}')


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 100

    def handle_error(self, *_):
        pass


host, _, port = ADDRESS.rpartition(':')
Server((host, int(port)), Handler).serve_forever()
