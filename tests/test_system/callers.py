"""A caller that runs in its own thread."""

from __future__ import annotations

import json
import os
import socket
import threading
import time

import urllib3

from pistachiopath.claims.identity import make_request_id
from pistachiopath.engine.tokens import answer_text

KEY = 'example-key-of-town-press'


def new_id() -> str:
    return make_request_id(int(time.time() * 1000), os.urandom(10))


class Caller:
    """Streams one completion and stores the received data."""

    def __init__(self, *, entry: str, prompt: str, tokens: int, request_id=''):
        self.prompt = prompt
        self.tokens = tokens
        self.request_id = request_id or new_id()
        self.data = b''
        self.status = 0
        self.broken = False
        self._entry = entry
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        body = {
            'model': 'style-answer',
            'messages': [{'role': 'user', 'content': self.prompt}],
            'max_tokens': self.tokens,
            'stream': True,
        }
        headers = {
            'Authorization': f'Bearer {KEY}',
            'Idempotency-Key': self.request_id,
        }
        try:
            response = urllib3.request(
                'POST',
                f'http://{self._entry}/v1/chat/completions',
                body=json.dumps(body),
                headers=headers,
                preload_content=False,
                retries=False,
                timeout=40.0,
            )
            self.status = response.status
            self._response = response
            while data := response.read1():
                self.data += data
        except urllib3.exceptions.HTTPError:
            self.broken = True

    def hang_up(self):
        """Close the connection in the middle of the answer."""
        self._response._fp.fp.raw._sock.shutdown(socket.SHUT_RDWR)
        self._thread.join(10.0)

    def wait(self):
        self._thread.join(60.0)
        assert not self._thread.is_alive()
        return self

    @property
    def has_started(self) -> bool:
        return len(self.data) > 500

    @property
    def error(self) -> dict:
        return json.loads(self.data.split(b'data: ')[-1])['error']

    @property
    def text(self) -> str:
        """The text received so far, without the end mark."""
        parts = []
        for line in self.data.split(b'\n\n'):
            payload = line.removeprefix(b'data: ')
            if not payload or payload == b'[DONE]':
                continue
            for choice in json.loads(payload)['choices']:
                parts.append(choice['delta'].get('content', ''))
        return ''.join(parts)

    @property
    def is_complete(self) -> bool:
        ended = self.data.endswith(b'data: [DONE]\n\n')
        return ended and self.text == answer_text(f'user: {self.prompt}', self.tokens)
