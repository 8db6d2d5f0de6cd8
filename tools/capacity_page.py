"""Renders docs/CAPACITY.md from the raw figures."""

from __future__ import annotations

NODES = 600
TARGETS = 11_000
REQUESTS_PER_S = 35_000
TOKENS_PER_S = 11_000_000
CUSTOMERS = 14_000
MODELS = 13
ZONES = 11
CHANGES_PER_S = 59_000 / 86_400
MEMBER_EVENTS_PER_S = 2 * (120 + 2_700) / 86_400
CONTROL_VMS = 59
CPU_BUDGET = 0.017
MEMORY_BUDGET_MB = 64
BYTES_BUDGET = 3_000

GROUPS = 19
REPLICAS = 3
RETENTION_S = 600
SNAPSHOT_CLAIMS_PER_S = 15_000
ELECTION_TIMEOUT_S = 0.4
SUBSET_PER_MODEL = 24
VIEW_PERIOD_S = 2.0
TODAY_TARGETS = 13
HEARTBEAT_PERIOD_S = 0.5
CHANGE_BYTES = 200
EVENT_BYTES = 100
TREE_DEGREE = 16
CROSS_REGION_HOP_S = 0.1
SLOPES = (
    'claim memory, bytes',
    'snapshot of claims, bytes',
    'snapshot of claims, processor s',
    'longest pause of a snapshot, s',
    'target in an entry, bytes',
    'target in a view, processor s',
    'heartbeat at a control replica, processor s',
    'customer in a configuration, bytes',
    'customer in a configuration, memory bytes',
    'customer in a configuration, processor s',
    'prefix chunk in an entry, bytes',
)
VIEWS = 'views by targets, bytes a second'
INDEX_CHUNKS = 40_000
BYTES_PER_MB = 1024 * 1024


class Sizes:
    """Figures of the page, computed from slopes and the size to design for."""

    def __init__(self, *, raw, fit, views=None):
        self.fits = {name: fit(raw[name]) for name in SLOPES}
        slope = {name: f[0] for name, f in self.fits.items()}
        path, claims = raw['path'], raw['claims']['64']
        message = raw['message, bytes']
        self.message = message
        self.path = path
        self.claims = claims
        self.decisions = raw['decision, processor us']
        # Claim groups.
        self.group_rate = REQUESTS_PER_S / GROUPS
        self.leader_cpu = self.group_rate * claims['leader_cpu_us'] / 1e6
        self.follower_cpu = self.group_rate * claims['follower_cpu_us'] / 1e6
        self.group_claims = self.group_rate * RETENTION_S
        self.group_mb = self.group_claims * slope['claim memory, bytes'] / BYTES_PER_MB
        self.snapshot_mb = (
            self.group_claims * slope['snapshot of claims, bytes'] / BYTES_PER_MB
        )
        self.snapshot_s = self.group_claims * slope['snapshot of claims, processor s']
        pause, intercept, _ = self.fits['longest pause of a snapshot, s']
        self.pause_s = max(0.0, intercept) + self.group_claims * max(0.0, pause)
        self.snapshot_takes_s = self.group_claims / SNAPSHOT_CLAIMS_PER_S
        self.log_mb_s = self.group_rate * 4 * message['Bind'] / BYTES_PER_MB
        # Targets.
        self.heartbeats = TARGETS / ZONES / HEARTBEAT_PERIOD_S
        heartbeat_s = slope['heartbeat at a control replica, processor s']
        self.registry_cpu = self.heartbeats * heartbeat_s
        self.agent_bytes = 2 * message['Heartbeat'] / HEARTBEAT_PERIOD_S
        # Entries.
        self.subset = SUBSET_PER_MODEL * MODELS
        # Bytes do not depend on the machine, so those of one run serve for both.
        views = views or raw[VIEWS]
        self.view_bytes = {int(n): v['differences'] for n, v in views.items()}
        self.whole_bytes = {int(n): v['whole'] for n, v in views.items()}
        self.zone_targets = TARGETS // ZONES
        view_s = slope['target in a view, processor s']
        self.view_cpu = self.subset * view_s / VIEW_PERIOD_S
        self.zone_cpu = self.zone_targets * view_s / VIEW_PERIOD_S
        self.event_bytes = MEMBER_EVENTS_PER_S * EVENT_BYTES
        self.change_bytes = CHANGES_PER_S * CHANGE_BYTES
        self.configuration_mb = (
            CUSTOMERS
            * slope['customer in a configuration, memory bytes']
            / BYTES_PER_MB
        )
        configuration_bytes = CUSTOMERS * slope['customer in a configuration, bytes']
        self.full_bytes_now = CHANGES_PER_S * configuration_bytes
        self.full_cpu_now = (
            CHANGES_PER_S
            * CUSTOMERS
            * slope['customer in a configuration, processor s']
        )
        self.targets_mb = (
            self.subset * slope['target in an entry, bytes'] / BYTES_PER_MB
        )
        self.index_mb = (
            INDEX_CHUNKS * slope['prefix chunk in an entry, bytes'] / BYTES_PER_MB
        )
        self.entry_mb = (
            path['idle_rss_entry-a']
            + self.configuration_mb
            + self.targets_mb
            + self.index_mb
        )
        self.entry_cpu = path['idle_cpu_entry-a'] + self.view_cpu
        self.entry_bytes = self.view_bytes[self.subset] + self.change_bytes
        # Data path.
        self.token_s, self.request_s, _ = fit(
            {
                tokens: path[f'relay_{tokens}']['entry-a']
                for tokens in (4, 64, 256, 1024)
            }
        )
        self.node_requests = REQUESTS_PER_S / NODES
        self.node_tokens = TOKENS_PER_S / NODES
        self.data_cpu = (
            self.node_requests * self.request_s + self.node_tokens * self.token_s
        )
        self.added_first_byte_s = path['first_byte_path'] - path['first_byte_direct']
        depth, reached_nodes = 0, 1
        while reached_nodes < NODES:
            depth += 1
            reached_nodes += TREE_DEGREE**depth
        self.tree_depth = depth
        self.in_force_s = 0.05 + depth * CROSS_REGION_HOP_S
        self.vms = GROUPS * REPLICAS


def verdict(value, budget):
    """Return whether a value fits its budget, and the spare share or the excess."""
    if value > budget:
        return f'**does not fit** ({value / budget:.1f} times)'
    return f'fits, {1 - value / budget:.0%} spare'


def slow_section(raw, fit, views):
    """Return the section on the cost of the same code on a slower machine."""
    s = Sizes(raw=raw, fit=fit, views=views)
    return f"""Processor times depend on the machine. All of it was measured again, in one run
([raw figures](capacity/raw-slow.json)), on a machine whose speed changed from one
minute to the next: ten million additions in a Python loop took 0.7 to 1.7 s. The
pause of a snapshot was measured there alone. There

- the data path takes {s.data_cpu:.2f} cores of one: {verdict(s.data_cpu, 1.0)};
- an entry's control takes {s.entry_cpu:.2%} of a core:
  {verdict(s.entry_cpu, CPU_BUDGET)};
- a group's leader takes {s.leader_cpu:.2f} cores: {verdict(s.leader_cpu, 1.0)},
  a follower {s.follower_cpu:.2f};
- a data centre's heartbeats take {s.registry_cpu:.1%} of a core."""


def render(raw, slow, fit):
    """Return the text of the page."""
    s = Sizes(raw=raw, fit=fit)
    fits = '\n'.join(
        f'| {name} | {", ".join(raw[name])} | {f[0]:.4g} | {f[1]:.3g} | {f[2]:.1%} |'
        for name, f in s.fits.items()
    )
    messages = ', '.join(f'{name} {size} B' for name, size in s.message.items())
    decisions = ', '.join(f'{n}: {cost:.0f} us' for n, cost in s.decisions.items())
    return f"""# Capacity at the size to design for

The size: {NODES} nodes (entries) before {TARGETS:,} targets, {REQUESTS_PER_S:,}
requests and {TOKENS_PER_S:,} tokens a second, {CUSTOMERS:,} customers, {MODELS}
models, {ZONES} data centres in 5 regions, 59,000 changes of configuration and
2,820 failed or replaced VMs a day. For control a node may spend 1.7% of a
core, 64 MB and 3 KB a second; at most {CONTROL_VMS} VMs are set aside.

The programs of the users' platform are reckoned on a page of their own,
[capacity/platform.md](capacity/platform.md). This page is written by
`make capacity` from the raw figures in
[capacity/raw.json](capacity/raw.json), measured on one quiet machine of 8
cores, but for two slopes whose code has changed since (a target in a view, a
heartbeat): those come from a machine some 2 to 3 times slower. A test checks that
page and figures agree. What is built today is for the
sizes of today. **Now** marks what runs today, **then** the mechanism that has
to carry the size and is not built.

{slow_section(slow, fit, raw[VIEWS])}

## Slopes

| cost | sizes | slope | at zero | largest residual |
|---|---|---|---|---|
{fits}

Messages: {messages}.

One routing decision, processor time by number of targets: {decisions}.

Claims, one group of three, 64 at a time: {s.claims['claims_per_s']:.0f} a
second (bind and finish), {s.claims['leader_cpu_us']:.0f} us of the leader's
processor and {s.claims['follower_cpu_us']:.0f} us of a follower's for each;
one at a time a bind takes {raw['claims']['1']['bind_p95_ms']:.1f} ms at p95.

## Entry ({NODES} nodes)

| what | figure | budget | verdict |
|---|---|---|---|
| data path: {s.node_requests:.0f} requests/s at {s.request_s * 1e3:.2f} ms and {s.node_tokens:.0f} tokens/s at {s.token_s * 1e6:.0f} us | {s.data_cpu:.2f} cores | one core | {verdict(s.data_cpu, 1.0)} |
| **now** views as differences, {TODAY_TARGETS} targets of today | {s.view_bytes[TODAY_TARGETS]:.0f} B/s (whole views: {s.whole_bytes[TODAY_TARGETS]:.0f}) | 3,000 B/s | {verdict(s.view_bytes[TODAY_TARGETS], BYTES_BUDGET)} |
| **now** the same, all {s.zone_targets} targets of a data centre | {s.view_bytes[s.zone_targets]:.0f} B/s (whole views: {s.whole_bytes[s.zone_targets]:.0f}), {s.zone_cpu:.2%} of a core | 3,000 B/s, 1.7% | {verdict(s.view_bytes[s.zone_targets], BYTES_BUDGET)} |
| **then** the same with the loads of {s.subset} targets, and changes of configuration as deltas | {s.entry_bytes:.0f} B/s | 3,000 B/s | {verdict(s.entry_bytes, BYTES_BUDGET)} |
| **then** processor for control | {s.entry_cpu:.2%} of a core | 1.7% | {verdict(s.entry_cpu, CPU_BUDGET)} |
| memory: {s.path['idle_rss_entry-a']:.0f} MB idle, configuration {s.configuration_mb:.1f}, targets {s.targets_mb:.1f}, prefix index {s.index_mb:.1f} | {s.entry_mb:.0f} MB | 64 MB | {verdict(s.entry_mb, MEMORY_BUDGET_MB)} |
| **now** data path: requests in progress, at most 16 MB (or an eighth of the VM's memory) and the copy of one (4 MB) | 20 MB | beside control | bounded by [request-memory](design/request-memory.md) |
| **now** whole configuration on each change | {s.full_bytes_now / 1000:.0f} KB/s, {s.full_cpu_now:.1%} of a core | 3 KB/s, 1.7% | {verdict(s.full_bytes_now, BYTES_BUDGET)} |

Mechanisms: an entry takes views as differences ([views](design/views.md)), of
every target that its control replicas hear (**now**); of all of them the
descriptions, so that entries agree on the homes of prompts, and the loads of
{SUBSET_PER_MODEL} for each model, drawn by the entry's name so that a data centre's
entries use all its targets (**then**: `View` has room for a second bitmap, of
targets whose load is not told). A decision samples 24 of them, so it
costs the same at any size (**now**). Load of the targets that an entry really
uses rides on their answers, which are not control traffic (**then**). A long
prompt's home on the hash ring is known without a message (**now**).

## Agent ({TARGETS:,} targets)

Registers once a start; heartbeats every {HEARTBEAT_PERIOD_S} s. **Now** to
all control replicas of the one group; **then** to two registries in its data
centre: {s.agent_bytes:.0f} B/s, {verdict(s.agent_bytes, BYTES_BUDGET)}. Idle it
uses {s.path['idle_cpu_agent-fast']:.1%} of a core and
{s.path['idle_rss_agent-fast']:.0f} MB. Answers that it keeps for returning
callers are bounded at 4 MB beside those in flight;
with 60 answers of 1024 tokens it grew to
{s.path['relay_1024']['loaded_rss_agent-fast']:.0f} MB.

## Control ({s.vms} of {CONTROL_VMS} VMs: {GROUPS} groups of {REPLICAS})

| what, for each group | figure |
|---|---|
| claims a second | {s.group_rate:.0f} |
| processor, leader / follower | {s.leader_cpu:.2f} / {s.follower_cpu:.2f} cores; one core: {verdict(s.leader_cpu, 1.0)} |
| claims kept ({RETENTION_S} s) | {s.group_claims / 1e6:.2f} million, {s.group_mb:.0f} MB |
| log written | {s.log_mb_s:.1f} MB/s, group commit |
| snapshot | {s.snapshot_mb:.0f} MB, {s.snapshot_s:.0f} s of processor time to write and read |
| heartbeats of a data centre ({s.heartbeats:.0f}/s) | {s.registry_cpu:.1%} of a core, shared by its control VMs |

A snapshot is written beside the work (**now**), 300 claims in each tick of 20
ms, {s.snapshot_takes_s:.0f} s in all; its longest pause at that size is
{s.pause_s:.2f} s of the {ELECTION_TIMEOUT_S} s after which an election begins:
{verdict(s.pause_s, ELECTION_TIMEOUT_S)}. 256,000 claims were tried apart ([agreement](design/agreement.md)). A follower that takes
a snapshot in, and a replica that starts, stop for the time of reading it.
Claims of non-idempotent work are kept for six hours and add to the {s.group_mb:.0f} MB
in proportion to their share, which we have not been told.

Claim groups (**then**; one group **now**): a customer has a home region in the
configuration; its claim keys are spread over the groups of that region by
hash, so a resend through any entry meets the same group, and a claim costs no
round trip between regions. Replicas of a group stand in different data
centres of their region, or of the nearest ones where it has fewer than three.

## Configuration

{CHANGES_PER_S:.2f} changes a second. **Now** every entry fetches the whole
configuration within 0.25 s of the commit; at the sizes of today it was in
force everywhere {s.path['in_force_s']:.1f} s after `accept` began, its start
and status polls included. **Then** a change is a delta of some {CHANGE_BYTES} B
in the log of one configuration group, pushed down a tree of degree
{TREE_DEGREE}: {s.tree_depth} hops, about {s.in_force_s:.2f} s with
{CROSS_REGION_HOP_S} s a hop; the limit is 4 s. A node that missed changes asks its
parent from its revision on; hundreds of deltas are some tens of KB.

## Failures

- *An ordinary day*: {MEMBER_EVENTS_PER_S:.3f} member events a second,
  {s.event_bytes:.1f} B/s a node. Each start of an agent is one log record.
- *A rack or switch*: some 40 targets; leases run out after 2 s, no event is
  needed. Groups lose one replica at most (different racks).
- *A data centre*: {TARGETS // ZONES:,} targets. One event marks the data
  centre; {GROUPS * REPLICAS // ZONES + 1} control VMs at most, one of each
  group, whose leaders are re-elected in about a second. After a leader's death
  the next answer came {s.path['leader_kill_s']:.1f} s later here.
- *Regions parted for an hour*: claims and targets are regional, so both sides
  go on; the configuration group's minority side keeps the revision it has and
  says so in `status`.
- *A control VM lost*: replaced by itself, one change of members at a time
  (**now**, proved in the scenarios).

## First token and between tokens

The path added {s.added_first_byte_s * 1e3:.0f} ms to the first byte at p95 on
loopback. Six one-way trips lie in it (caller, leader, follower and back, agent
and back); at 1.5 ms each that is 9 ms more, of 490 ms. Between tokens the
entry adds {s.token_s * 1e6:.0f} us of work a token; nothing waits on control.
"""
