"""Sizes and processor times of the messages of the platform path.

`python -m tools.capacity_platform` measures them and writes
docs/capacity/platform.md.  With `--sizes` it measures only the sizes, which do
not depend on the machine, and with `--render` it only writes the page.
"""

from __future__ import annotations

import json
import sys
import time
import tracemalloc
from pathlib import Path

from pistachiopath.admission.allowance_lender import AllowanceLender
from pistachiopath.directory.directory import Directory
from pistachiopath.grants.gate import GrantGate
from pistachiopath.messages.allowance import (
    AllowanceLease,
    AllowanceLeases,
    Borrow,
    Borrowed,
    CustomerUse,
    UseReport,
)
from pistachiopath.messages.directory import (
    Announcements,
    Follow,
    News,
    ReplicaRecord,
)
from pistachiopath.messages.envelope import Envelope
from pistachiopath.messages.grants import (
    Ask,
    GateLoad,
    Granted,
    ReleasePlace,
    TierLoad,
    WatchLoad,
)
from pistachiopath.messages.quarantine import CrashMark, CrashMarks
from pistachiopath.messages.streams import StreamNotes, StreamOrigin, StreamOrigins
from pistachiopath.routes.customer_account import CustomerAccount
from pistachiopath.streams.memory import MAX_STREAMS, StreamMemory
from pistachiopath.streams.name import stream_digest, stream_name
from pistachiopath.streams.origin import Origin
from pistachiopath.streams.service_version import ServiceVersion
from pistachiopath.transport.codec import encode
from pistachiopath.transport.frames import pack
from tools.capacity import fit
from tools.capacity_platform_page import render

RAW_PATH = Path('docs/capacity/platform.json')
PAGE_PATH = Path('docs/capacity/platform.md')
SIZES = (5, 50, 500, 5000)
REPETITIONS = 2000
RATE_PER_S = 1e6


def size(body):
    """Return the bytes of a message on a link."""
    return len(pack(encode(Envelope(call=1, body=body))))


def use_report(customers):
    """Return a use report of that many customers."""
    uses = tuple(
        CustomerUse(customer=f'cu{n:05}', total=10**8 + n, asked=10**8 + n)
        for n in range(customers)
    )
    return UseReport(session=10**12, uses=uses, heard=7, known=7)


def leases(customers):
    """Return allowance leases of that many customers."""
    return AllowanceLeases(
        leases=tuple(
            AllowanceLease(
                customer=f'cu{n:05}', rate_per_s=10**4, burst=10**4, level=10**3
            )
            for n in range(customers)
        )
    )


def record(number):
    """Return the record of a replica."""
    return ReplicaRecord(
        replica=f'i-{number:08x}',
        born_ms=10**12,
        sequence=number,
        service='service',
        address=f'10.{number // 60000}.{number // 250 % 250}.{number % 250}:8080',
        zone='zone-a',
        slots=8,
        state='ready',
        software_version='v1.2',
    )


def news(records):
    """Return a `News` message with that many replicas."""
    return News(
        feed=1,
        change=1,
        version=1,
        content=b'',
        records=tuple(record(n) for n in range(records)),
        controls=('10.0.0.1:7681', '10.0.0.2:7681', '10.0.0.3:7681'),
        entries=7,
        silent=(),
    )


def stream(number):
    """Return the name of a stream."""
    return stream_name('cu00001', f'{number:016x}')


def origins(streams):
    """Return a reply about that many streams."""
    return StreamOrigins(
        origins=tuple(
            StreamOrigin(
                stream=stream(n),
                service='service',
                software_version='v1.2',
                attempt=1,
                is_confirmed=False,
                age_ms=500,
                replica='i-7f3a91c2d4e5',
                born_ms=1_700_000_000_000,
                granted_ms=500,
            )
            for n in range(streams)
        )
    )


def notes(streams):
    """Return notes of that many streams for a control node."""
    digests = b''.join(stream_digest(stream(n)) for n in range(streams))
    batch = StreamNotes(service='service', software_version='v1.2', digests=digests)
    return WatchLoad(slots=0, notes=(batch,))


def ask(number):
    """Return a request for a place."""
    return Ask(
        request=f'{number:016x}.1',
        tier=number % 3,
        customer='cu00001',
        prompt_tokens=1000,
        output_tokens=100,
        objective_ms=500,
        deadline_ms=5000,
        slots=8,
        stream=stream(number),
        service='service',
        software_version='v1.2',
        attempt=1,
        replica='i-7f3a91c2d4e5',
        born_ms=1_700_000_000_000,
    )


def message_bytes():
    """Return the size of each message, by number of items where it grows with them."""
    mark = CrashMark(fingerprint=b'f' * 16, lifetime='i-1@1', age_ms=1, ran_ms=1)
    load = GateLoad(
        slots=8,
        running=8,
        waiting=tuple(TierLoad(tier=n, waiting=3, work_ms=100) for n in range(3)),
        free_in_ms=20,
        ms_per_1000_prompt_tokens=30,
        ms_per_1000_output_tokens=4000,
    )
    return {
        'UseReport by customers': {n: size(use_report(n)) for n in SIZES},
        'News by replicas': {n: size(news(n)) for n in SIZES},
        'AllowanceLeases by customers': {n: size(leases(n)) for n in SIZES},
        'UseReport, one customer': size(use_report(1)),
        'AllowanceLeases, none': size(leases(0)),
        'AllowanceLeases, one customer': size(leases(1)),
        'Borrow': size(Borrow(customer='cu00001', cost=3000)),
        'Borrowed': size(Borrowed(is_lent=True)),
        'Follow': size(Follow(version=1, feed=1, since=1, is_entry=True)),
        'News, nothing new': size(news(0)),
        'Announcements, one replica': size(Announcements(records=(record(1),))),
        'Ask': size(ask(1)),
        'Granted': size(Granted(request='0' * 18)),
        'ReleasePlace': size(ReleasePlace(request='0' * 18, first_ms=50, ok=True)),
        'WatchLoad': size(WatchLoad(slots=8, period_ms=500)),
        'GateLoad, three tiers wait': size(load),
        'CrashMarks, one mark': size(CrashMarks(marks=(mark,))),
        'WatchLoad, ten streams': size(
            WatchLoad(slots=0, streams=tuple(stream(n) for n in range(10)))
        ),
        'WatchLoad, notes by streams': {n: size(notes(n)) for n in SIZES},
        'StreamOrigins, none': size(origins(0)),
        'StreamOrigins, one stream': size(origins(1)),
    }


def cpu_us(action, repetitions=REPETITIONS):
    """Return the mean processor time of an action in microseconds."""
    started_at = time.process_time()
    for number in range(repetitions):
        action(number)
    return (time.process_time() - started_at) / repetitions * 1e6


def processor_us():
    """Return the processor microseconds of handling and encoding messages."""
    lender = AllowanceLender(session=1)
    customers = tuple(
        CustomerAccount(
            name=f'cu{n:05}', keys=(str(n),), rate_per_s=RATE_PER_S, burst=RATE_PER_S
        )
        for n in range(50)
    )
    lender.adopt(customers, 0.0)
    report = use_report(50)
    directory = Directory()
    gate = GrantGate()

    def handle_place_request(number):
        place_request = ask(number)
        gate.ask('e', place_request, number * 0.01)
        body = ReleasePlace(request=place_request.request, first_ms=20, ok=True)
        gate.release('e', body, number * 0.01 + 0.005)

    return {
        'UseReport of 50 customers heard': cpu_us(
            lambda n: lender.record_entry_report('e', report, n * 0.05)
        ),
        'UseReport of 50 customers encoded': cpu_us(lambda n: size(report)),
        'single cost lent': cpu_us(lambda n: lender.borrow('cu00001', 1.0, n * 0.05)),
        'replica announced': cpu_us(lambda n: directory.merge(record(n), 0.0)),
        'place asked, granted and given back': cpu_us(handle_place_request),
    }


def memory_bytes():
    """Return the bytes that each item of a memory takes."""
    memory = StreamMemory()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(MAX_STREAMS):
        version = ServiceVersion(service='service', version='v1.2')
        now = number / MAX_STREAMS
        origin = Origin(
            version=version,
            attempt=1,
            is_confirmed=False,
            noted_at=now,
            replica=f'i-{number:012x}',
            born_ms=1_700_000_000_000 + number,
            granted_at=now,
        )
        memory.note(stream(number), origin)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {'remembered stream': round((after - before) / len(memory))}


def main():
    """Measure, and write the raw figures and the page."""
    if '--sizes' in sys.argv:
        raw = json.loads(RAW_PATH.read_text()) | {
            'bytes': message_bytes(),
            'memory bytes': memory_bytes(),
        }
        RAW_PATH.write_text(json.dumps(raw, indent=1) + '\n')
    elif '--render' not in sys.argv:
        raw = {
            'bytes': message_bytes(),
            'processor us': processor_us(),
            'memory bytes': memory_bytes(),
        }
        RAW_PATH.write_text(json.dumps(raw, indent=1) + '\n')
    PAGE_PATH.write_text(render(json.loads(RAW_PATH.read_text()), fit))


if __name__ == '__main__':
    main()
