from __future__ import annotations

from tools.cluster import wait_until


def orders_at(cluster, name):
    url = f'http://{cluster.engines[name]}/orders'
    return cluster.http.request('GET', url).json()['orders']


def models_at(cluster, name):
    url = f'http://{cluster.engines[name]}/models'
    return cluster.http.request('GET', url).json()['models']


def test_an_accepted_version_is_loaded_one_engine_at_a_time(cluster, examples):
    cluster.start_controls()
    cluster.start_weights('store', weight_load_s=1.0)
    for name in ('one', 'two'):
        cluster.start_engine(
            name,
            models=['proofreader'],
            weight_store=cluster.engines['store'],
            checks_fence=False,
        )
        cluster.start_agent(name, takes_orders=True)
    cluster.start_entry('entry-a')
    text = (examples / 'prairie.toml').read_text()
    answers = cluster.folder / 'answers.toml'
    answers.write_text(text.replace('replicas = 10', 'version = "2"\nreplicas = 2'))
    assert cluster.accept(answers).returncode == 0
    cluster.wait_ready()
    min_ready = 2

    def is_done():
        nonlocal min_ready
        models = [models_at(cluster, name)[0] for name in ('one', 'two')]
        min_ready = min(min_ready, sum(m['ready'] for m in models))
        return all(m['ready'] and m['version'] == '2' for m in models)

    wait_until(is_done, 'version 2 is not loaded')
    # Polling may miss a load; the weight store counts all of them.
    assert min_ready >= 1
    url = f'http://{cluster.engines["store"]}/loads/most'
    assert cluster.http.request('GET', url).json() == {'most': 1}
    fences = [o['fence'] for name in ('one', 'two') for o in orders_at(cluster, name)]
    assert len(set(fences)) == 1
