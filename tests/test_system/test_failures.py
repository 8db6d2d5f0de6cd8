from __future__ import annotations

import json
import shutil
import signal

import pytest

from tools.cluster import Cluster, wait_until

from .callers import KEY, Caller, new_id
from .relay import Relay


def status(cluster):
    """Return the status documents of the replicas that answer, by address."""
    result = cluster.operate(
        'status', '--json', '--settings', cluster.operator_settings
    )
    return json.loads(result.stdout) if result.returncode == 0 else {}


def leader(cluster):
    """Wait for a leader; return the name of its control process."""

    def find():
        for address, document in status(cluster).items():
            if document['role'] == 'leader' and document['caught_up']:
                return f'control-{cluster.controls.index(address)}'
        return None

    return wait_until(find, 'no leader')


def entry(cluster, name='entry-a'):
    return cluster.entries[name]


def test_the_answer_of_a_killed_entry_is_completed_by_another(prairie):
    first = Caller(entry=entry(prairie), prompt='mid-stream', tokens=120)
    wait_until(lambda: first.has_started, 'no answer began')
    prairie.kill('entry-a')
    first.wait()
    assert not first.is_complete
    again = Caller(
        entry=entry(prairie, 'entry-b'),
        prompt='mid-stream',
        tokens=120,
        request_id=first.request_id,
    ).wait()
    assert again.is_complete
    ran = sum(runs_started(prairie, name) for name in ('fast', 'slow'))
    assert ran == 1


def runs_started(cluster, target):
    log = (cluster.folder / f'agent-{target}.log').read_text()
    return log.count('msg=run_started')


def test_a_killed_agent_leads_to_an_unknown_outcome_and_no_second_run(prairie):
    callers = [
        Caller(entry=entry(prairie), prompt=f'agent {n}', tokens=150) for n in range(4)
    ]
    wait_until(lambda: all(c.has_started for c in callers), 'no answers began')
    busy = 'fast' if runs_started(prairie, 'fast') else 'slow'
    prairie.kill(f'agent-{busy}')
    prairie.restart(f'agent-{busy}')
    for caller in callers:
        caller.wait()
        if not caller.is_complete:
            assert caller.error['type'] == 'unknown'
            assert caller.error['ran'] == 'unknown'
            again = Caller(
                entry=entry(prairie, 'entry-b'),
                prompt=caller.prompt,
                tokens=150,
                request_id=caller.request_id,
            ).wait()
            assert again.error['type'] == 'unknown'
    assert sum(runs_started(prairie, n) for n in ('fast', 'slow')) == len(callers)
    assert any(not caller.is_complete for caller in callers)


def test_a_killed_leader_only_delays_callers(prairie):
    old = leader(prairie)
    callers = [
        Caller(entry=entry(prairie), prompt=f'leader {n}', tokens=10) for n in range(3)
    ]
    prairie.kill(old)
    callers += [
        Caller(entry=entry(prairie, 'entry-b'), prompt=f'later {n}', tokens=10)
        for n in range(3)
    ]
    assert all(caller.wait().is_complete for caller in callers)
    assert leader(prairie) != old
    prairie.restart(old)
    wait_until(lambda: len(status(prairie)) == 3, 'the old leader is missing')


def test_a_lost_data_folder_is_replaced_and_a_second_loss_tolerated(prairie):
    headers = {'Authorization': f'Bearer {KEY}', 'Idempotency-Key': new_id()}
    url = f'http://{entry(prairie)}/services/payments/payout'
    first = prairie.http.request('POST', url, body=b'{"to": 1}', headers=headers)
    for name in ('control-0', 'control-1'):
        prairie.kill(name)
        shutil.rmtree(prairie.folder / name)
        prairie.restart(name)
        wait_until(lambda: is_group_complete(prairie), f'{name} was not replaced')
    again = prairie.http.request('POST', url, body=b'{"to": 1}', headers=headers)
    assert (again.status, again.data) == (200, first.data)
    ledger = f'http://{prairie.engines["payments"]}/ledger'
    assert len(prairie.http.request('GET', ledger).json()['ledger']) == 1


def is_group_complete(cluster):
    documents = status(cluster)
    if len(documents) < 3 or not all(d['caught_up'] for d in documents.values()):
        return False
    members = [d['members'] for d in documents.values()]
    three = all(len(m) == 3 and all(v['voter'] for v in m) for m in members)
    return three and members[0] == members[1] == members[2]


def test_a_target_frozen_past_its_lease_is_delisted_and_relisted(prairie):
    prairie.signal('agent-fast', signal.SIGSTOP)

    def count_listing():
        """Return how many replicas answer, and how many list the target."""
        documents = status(prairie).values()
        names = [{t['target'] for t in d['targets']} for d in documents]
        return len(names), sum('fast' in listed for listed in names)

    # An entry uses the newest view of any replica, so all have to drop the target.
    wait_until(lambda: count_listing() == (3, 0), 'the lease did not run out')
    caller = Caller(entry=entry(prairie), prompt='awake', tokens=5).wait()
    assert caller.is_complete, caller.data
    prairie.signal('agent-fast', signal.SIGCONT)
    wait_until(lambda: count_listing() == (3, 3), 'the target was not listed again')
    assert Caller(entry=entry(prairie), prompt='again', tokens=5).wait().is_complete


def test_graceful_stops_under_load_complete_all_answers(prairie):
    callers = [
        Caller(entry=entry(prairie), prompt=f'stop {n}', tokens=60) for n in range(6)
    ]
    wait_until(lambda: all(c.has_started for c in callers), 'no answers began')
    assert prairie.stop('agent-fast') == 0
    assert prairie.stop('entry-a') == 0
    assert all(caller.wait().is_complete for caller in callers)


def test_racing_operators_and_a_restart_never_revert_a_revision(prairie, examples):
    text = (examples / 'prairie.toml').read_text()
    accepted = []
    for size in ('small', 'medium'):
        answers = prairie.folder / f'{size}.toml'
        answers.write_text(text.replace('size = "large"', f'size = "{size}"'))
        output = str(prairie.folder / f'{size}.json')
        prairie.operate('generate', str(answers), '--output', output)
        common = ('accept', output, '--settings', prairie.operator_settings)
        result = prairie.operate(*common, '--expected', '1')
        accepted.append(result.returncode)
        resent = prairie.operate(*common, '--expected', '1')
        assert resent.returncode == result.returncode
    assert accepted == [0, 1]
    for name in ('control-0', 'control-1', 'control-2'):
        prairie.kill(name)
        prairie.restart(name)
    prairie.kill('entry-a')
    prairie.restart('entry-a')
    prairie.wait_ready()

    def is_in_force_everywhere():
        documents = status(prairie).values()
        return len(documents) == 3 and all(
            d['revision'] == 2 and d['caught_up'] for d in documents
        )

    wait_until(is_in_force_everywhere, 'revision 2 is not in force everywhere')


@pytest.fixture
def relayed(tmp_path, examples):
    """A cluster with one target whose agent is reached through a relay."""
    with Cluster(folder=tmp_path) as cluster:
        cluster.start_controls()
        cluster.start_engine('only')
        cluster.start_agent('only', models=['proofreader'])
        relay = Relay(target=cluster.agents['only']['address'])
        cluster.kill('agent-only')
        cluster.change('agent-only', advertise=relay.address)
        cluster.restart('agent-only')
        cluster.start_entry('entry-a')
        assert cluster.accept(examples / 'prairie.toml').returncode == 0
        cluster.wait_ready()
        yield cluster, relay


def test_a_silent_cut_gives_a_typed_outcome_and_the_answer_is_kept(relayed):
    cluster, relay = relayed
    caller = Caller(entry=entry(cluster), prompt='cut', tokens=100)
    wait_until(lambda: caller.has_started, 'no answer began')
    relay.cut()
    caller.wait()
    assert caller.error['type'] == 'unknown'
    relay.heal()
    again = Caller(
        entry=entry(cluster), prompt='cut', tokens=100, request_id=caller.request_id
    ).wait()
    assert again.is_complete
    assert runs_started(cluster, 'only') == 1


def in_flight(cluster, name):
    url = f'http://{cluster.entries[name]}/healthz'
    return cluster.http.request('GET', url).json()['in_flight']


def test_a_caller_that_disconnects_can_resume_its_run(prairie):
    first = Caller(entry=entry(prairie), prompt='hang up', tokens=120)
    wait_until(lambda: first.has_started, 'no answer began')
    first.hang_up()
    wait_until(
        lambda: in_flight(prairie, 'entry-a') == 0,
        'the entry did not notice the disconnect',
    )
    again = Caller(
        entry=entry(prairie, 'entry-b'),
        prompt='hang up',
        tokens=120,
        request_id=first.request_id,
    ).wait()
    assert again.is_complete
    assert sum(runs_started(prairie, name) for name in ('fast', 'slow')) == 1
