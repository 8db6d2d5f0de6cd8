from __future__ import annotations

import os
import random
import socket

from pistachiopath.messages.envelope import Envelope
from pistachiopath.messages.session import Hello
from pistachiopath.messages.status import StatusRequest
from pistachiopath.transport.codec import decode, encode
from pistachiopath.transport.frames import HEADER, FrameBuffer, pack
from tools.cluster import wait_until


def exchange(address, data):
    """Send bytes to a port; return what was received until it was closed."""
    host, port = address.split(':')
    with socket.create_connection((host, int(port)), timeout=10.0) as sock:
        received = b''
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while part := sock.recv(65536):
                received += part
        except OSError:
            pass
        return received


def decode_messages(data):
    buffer = FrameBuffer()
    buffer.feed(data)
    return [decode(payload).body for payload in iter(buffer.next, None)]


def hello_frame(role='node', proof=b'wrong'):
    body = Hello(name='stranger', role=role, nonce=b'n', proof=proof)
    return pack(encode(Envelope(call=0, body=body)))


def test_bad_frames_are_refused_and_the_process_keeps_running(prairie):
    rng = random.Random(1)
    status = pack(encode(Envelope(call=1, body=StatusRequest())))
    addresses = [prairie.controls[0], prairie.agents['fast']['address']]
    cases = [
        b'',
        b'GET / HTTP/1.1\r\n\r\n',
        HEADER.pack(2**31, 0),
        HEADER.pack(100, 0) + b'short',
        pack(b'not a message'),
        status,
        hello_frame(),
        hello_frame(role='nobody'),
        hello_frame(role='operator') + status,
        *(rng.randbytes(rng.randrange(200)) for _ in range(20)),
    ]
    for address in addresses:
        for case in cases:
            kinds = [type(m).__name__ for m in decode_messages(exchange(address, case))]
            assert kinds[0] == 'Challenge'
            assert 'Welcome' not in kinds and 'Status' not in kinds
    assert 'Rejected' in [
        type(m).__name__ for m in decode_messages(exchange(addresses[0], hello_frame()))
    ]
    result = prairie.operate('status', '--settings', prairie.operator_settings)
    assert result.returncode == 0
    for name in prairie.processes:
        assert prairie.processes[name].poll() is None
    check_bad_http(prairie, rng)


def check_bad_http(prairie, rng):
    address = prairie.entries['entry-a']
    for case in (
        b'POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n',
        b'POST /v1/completions HTTP/1.1\r\nContent-Length: -4\r\n\r\n',
        b'GET /' + b'x' * 100_000 + b' HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.1\r\n' + b'A: ' + b'x' * 200_000 + b'\r\n\r\n',
        b'PUT /healthz HTTP/1.1\r\n\r\n',
        *(rng.randbytes(100) for _ in range(10)),
    ):
        answer = exchange(address, case)
        assert b' 200 ' not in answer.split(b'\r\n')[0]
    wait_until(lambda: prairie.is_ready('entry-a'), 'the entry stopped serving')


def test_wrong_secrets_and_settings_are_refused(prairie, tmp_path):
    settings = tmp_path / 'operator.toml'
    settings.write_text(
        f'controls = ["{prairie.controls[0]}"]\n'
        'operator_secret = "a guess of the secret"\ntimeout_s = 2.0\n'
    )
    result = prairie.operate('status', '--settings', str(settings))
    assert result.returncode == 1
    assert 'no control replica answered' in result.stderr
    prairie.change('entry-a', http=5, nonsense=True)
    prairie.stop('entry-a')
    prairie.restart('entry-a')
    assert prairie.processes['entry-a'].wait(timeout=10) == 2
    log = (prairie.folder / 'entry-a.log').read_text()
    assert 'entry-a.toml: http: ' in log
    assert 'unknown keys nonsense' in log
    assert os.path.exists(prairie.folder / 'entry-a.toml')
