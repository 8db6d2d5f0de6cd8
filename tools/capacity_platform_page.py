"""Renders docs/capacity/platform.md from the raw figures."""

from __future__ import annotations

from pistachiopath.lifetimes.open_streams import NOTE_INTERVAL_S
from pistachiopath.lifetimes.stream_finder import BATCH_S_PER_GATE
from pistachiopath.streams.memory import MAX_STREAMS, STREAM_RETENTION_S
from tools.capacity_page import (
    BYTES_BUDGET,
    CUSTOMERS,
    MODELS,
    NODES,
    TARGETS,
    ZONES,
)

DATA_PATH = 'with each request'

# Rates and intervals of the current design.
REPORTS_PER_S = 10
LEASES_PER_S = 1 / 0.15
IDLE_LEASES_PER_S = 1 / 0.35
LENDER_REPORTS_PER_S = 1 / 0.15
MAIN_FOLLOWS_PER_S = 2.5
OTHER_FOLLOWS_PER_S = 1 / 1.2
LOADS_PER_S = 8
WATCHED_GATES = 6
WATCHES_PER_S = 1
ANNOUNCE_INTERVAL_S = 1.2
REQUESTS_PER_S = 35_000
# The large fleet of today.
TODAY_ENTRIES = 70
TODAY_CONTROLS = 10
TODAY_REQUESTS_PER_S = 540
TODAY_TARGETS = 64
# Number of customers that exceed their rate at the same time.
SCARCE_CUSTOMERS = 1
CONTROLS_PER_DATA_CENTRE = 2
# Assumptions at the size to design for.
ACTIVE_SHARE = 0.05
# Streams that break off with an entry are those of this many seconds.
STREAM_S = 2.0
CONTROLS = CONTROLS_PER_DATA_CENTRE * ZONES
MEMBER_EVENTS_PER_S = 2 * (120 + 2_700) / 86_400


def verdict(value):
    """Return whether bytes per second fit the budget of a node."""
    if value <= BYTES_BUDGET:
        return 'fits'
    return f'**does not fit** ({value / BYTES_BUDGET:.1f} times)'


def row(label, value):
    """Return a row of the table; the data path has no byte budget."""
    result = 'data path' if DATA_PATH in label else verdict(value)
    return f'| {label} | {value:,.0f} B/s | {result} |'


def entry_rows(sizes, controls, requests_per_s):
    """Return the bytes per second that an entry sends and receives."""
    reports = REPORTS_PER_S * sizes['UseReport, one customer']
    leases = SCARCE_CUSTOMERS * LEASES_PER_S * sizes['AllowanceLeases, one customer']
    follow_bytes = sizes['Follow'] + sizes['News, nothing new']
    follows_per_s = MAIN_FOLLOWS_PER_S + (controls - 1) * OTHER_FOLLOWS_PER_S
    load_bytes = sizes['GateLoad, three tiers wait']
    watches = WATCHED_GATES * WATCHES_PER_S * (sizes['WatchLoad'] + load_bytes)
    grant_bytes = sizes['Ask'] + sizes['Granted'] + sizes['ReleasePlace'] + load_bytes
    return (
        ('entry: use told to its lender, and leases of one customer', reports + leases),
        (f'entry: news of {controls} control nodes', follows_per_s * follow_bytes),
        (f'entry: {WATCHED_GATES} gates watched', LOADS_PER_S * load_bytes + watches),
        (
            'entry: places asked, granted, given back, with each request',
            requests_per_s * grant_bytes,
        ),
    )


def control_rows(sizes, entries, controls, targets):
    """Return the bytes per second that a control node sends and receives."""
    own_entries = entries / controls
    reports = own_entries * REPORTS_PER_S * sizes['UseReport, one customer']
    leases = own_entries * IDLE_LEASES_PER_S * sizes['AllowanceLeases, none']
    report_sizes = sizes['UseReport by customers']
    lender_bytes = 2 * (controls - 1) * LENDER_REPORTS_PER_S * report_sizes['5']
    follow_bytes = sizes['Follow'] + sizes['News, nothing new']
    follows_per_s = (
        own_entries * MAIN_FOLLOWS_PER_S + (entries - own_entries) * OTHER_FOLLOWS_PER_S
    )
    announcement_bytes = sizes['Announcements, one replica']
    return (
        (
            f'control node: reports and leases of {own_entries:.0f} entries',
            reports + leases,
        ),
        ('control node: use of 5 customers, to and from the others', lender_bytes),
        (f'control node: news to {entries} entries', follows_per_s * follow_bytes),
        (
            'control node: announcements, to and from the others',
            targets / ANNOUNCE_INTERVAL_S * 2 * announcement_bytes,
        ),
    )


def note_rows(sizes, fit, entries, controls, requests_per_s):
    """Return the bytes per second of notes of streams, if all requests are streams."""
    digest_bytes, message_bytes, _ = fit(sizes['WatchLoad, notes by streams'])
    entry_bytes = requests_per_s / entries * digest_bytes
    entry_bytes += message_bytes / NOTE_INTERVAL_S
    own_entries = entries / controls
    return (
        (f'entry: streams noted, {entries} entries', entry_bytes),
        (
            f'control node: streams that {own_entries:.0f} entries note',
            own_entries * entry_bytes,
        ),
    )


def figures(raw, fit):
    """Return bytes per second of a node, today and at the size to design for."""
    sizes = raw['bytes']
    active_customers = CUSTOMERS * ACTIVE_SHARE / ZONES
    news_slope = fit(sizes['News by replicas'])[0]
    use_slope = fit(sizes['UseReport by customers'])[0]
    change_bytes = MEMBER_EVENTS_PER_S * news_slope
    return {
        'today': (
            *entry_rows(sizes, TODAY_CONTROLS, TODAY_REQUESTS_PER_S / TODAY_ENTRIES),
            *control_rows(sizes, TODAY_ENTRIES, TODAY_CONTROLS, TODAY_TARGETS),
        ),
        'same': (
            *entry_rows(sizes, CONTROLS, REQUESTS_PER_S / NODES),
            (
                'entry: changes of replicas, from each control node',
                CONTROLS * change_bytes,
            ),
            *control_rows(sizes, NODES, CONTROLS, TARGETS),
        ),
        'today without agents': note_rows(
            sizes, fit, TODAY_ENTRIES, TODAY_CONTROLS, TODAY_REQUESTS_PER_S
        ),
        'without agents': note_rows(sizes, fit, NODES, CONTROLS, REQUESTS_PER_S),
        'then': (
            (
                'control node: use of active customers, to and from one other',
                2 * LENDER_REPORTS_PER_S * use_slope * active_customers,
            ),
        ),
    }


def returns_bytes(sizes, holders):
    """Return the bytes of asking that many nodes once for all streams of an entry."""
    returns = REQUESTS_PER_S / NODES * STREAM_S
    name_bytes = (sizes['WatchLoad, ten streams'] - sizes['WatchLoad']) / 10
    found_bytes = sizes['StreamOrigins, one stream'] - sizes['StreamOrigins, none']
    envelope_bytes = sizes['WatchLoad'] + sizes['StreamOrigins, none']
    return holders * (envelope_bytes + returns * name_bytes) + returns * found_bytes


def stream_rows(raw):
    """Return the rows on remembered streams, and on questions for them."""
    stream_bytes = raw['memory bytes']['remembered stream']
    per_entry = REQUESTS_PER_S / NODES * STREAM_RETENTION_S
    per_gate = REQUESTS_PER_S / TARGETS * STREAM_RETENTION_S
    gates = TARGETS / MODELS
    messages_per_s = 1 / BATCH_S_PER_GATE
    sizes = raw['bytes']
    question_bytes = sizes['WatchLoad, ten streams'] + sizes['StreamOrigins, none']
    rows = (
        ('entry: streams remembered', f'{per_entry:,.0f}'),
        ('entry: memory for them', f'{per_entry * stream_bytes / 1e6:.2f} MB'),
        ('gate: streams remembered', f'{per_gate:,.0f}'),
        ('gate: memory for them', f'{per_gate * stream_bytes / 1e3:.0f} KB'),
        ('memory at the bound', f'{MAX_STREAMS * stream_bytes / 1e6:.1f} MB'),
        ('gates of one model, all asked for a stream', f'{gates:,.0f}'),
        ('entry: questions a second, at most', f'{messages_per_s:,.0f}'),
        (
            'entry: bytes for them and the replies, ten streams each',
            f'{messages_per_s * question_bytes / 1e6:.1f} MB/s',
        ),
        (
            'gate: questions a second, if all entries ask',
            f'{messages_per_s * NODES / gates:,.0f}',
        ),
        (
            f'entry: all gates asked once for the streams of {STREAM_S:.0f} s',
            f'{returns_bytes(sizes, gates) / 1e6:.1f} MB',
        ),
        (
            f'entry: the {CONTROLS} control nodes asked once for the same',
            f'{returns_bytes(sizes, CONTROLS) / 1e3:.0f} KB',
        ),
    )
    return '\n'.join(f'| {label} | {value} |' for label, value in rows)


def render(raw, fit):
    """Return the page."""
    parts = figures(raw, fit)
    messages = []
    for name, value in raw['bytes'].items():
        if isinstance(value, dict):
            messages.append(f'| {name} | {fit(value)[0]:.1f} each |')
        else:
            messages.append(f'| {name} | {value} |')
    times = [f'| {name} | {us:.0f} |' for name, us in raw['processor us'].items()]
    tables = {
        name: '\n'.join(row(label, value) for label, value in rows)
        for name, rows in parts.items()
    }
    return f"""# Capacity of the platform path

Written by `python -m tools.capacity_platform` from
[platform.json](platform.json); a test checks that page and figures agree, and
that the messages have these sizes still. Processor times are of one machine in
one run; budgets and size stand in [CAPACITY.md](../CAPACITY.md).

| message | bytes on a link |
|---|---|
{chr(10).join(messages)}

| handling, processor time | us |
|---|---|
{chr(10).join(times)}

## Today: {TODAY_ENTRIES} entries and {TODAY_CONTROLS} control nodes

| who tells what | bytes | budget of 3,000 B/s |
|---|---|---|
{tables['today']}

## The same design at the size to design for

| who tells what | bytes | budget of 3,000 B/s |
|---|---|---|
{tables['same']}

What an entry sends and hears does not grow with the number of entries or
gates: it reports to one lender, watches {WATCHED_GATES} gates and knows the others by
their answers. Beyond the budget are the gates that it watches, and control
nodes, which hear every entry and tell every announcement to all others.

## Streams that are resumed, at the size to design for

| what | figure |
|---|---|
{stream_rows(raw)}

A remembered stream takes {raw['memory bytes']['remembered stream']} bytes, measured
over {MAX_STREAMS:,}. Gates are asked only about returns whose version an entry can
neither remember nor deduce, so while a service runs two versions; the figures of
questions hold while all callers come back at once, for seconds after all entries
lost power. There the bytes are far beyond the budget: that does not reach the size.
The streams of an entry that break off are taken to be those of {STREAM_S:.0f} s, an
assumption. Control nodes are asked with the gates.

Streams at replicas without an agent are noted at a control node while their service
has several versions. These are upper bounds, as if each request were such a stream
and lasted until the next notes, {NOTE_INTERVAL_S} s apart:

| who tells what | bytes | budget of 3,000 B/s |
|---|---|---|
{tables['today without agents']}
{tables['without agents']}

## What has to carry the size (not built)

| who tells what | bytes | budget of 3,000 B/s |
|---|---|---|
{tables['then']}

With two control nodes a data centre an entry hears all {CONTROLS}, which is beyond
its budget. An entry follows those of its data centre alone; announcements stay
there, only births and ends leave it. That {ACTIVE_SHARE:.0%} of the customers are
active at a time is assumed, not measured.
"""
