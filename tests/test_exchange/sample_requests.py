"""Requests that tests of the server send, as bytes."""

from __future__ import annotations

POST = b'POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello'
POST_AND_CLOSE = POST.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
