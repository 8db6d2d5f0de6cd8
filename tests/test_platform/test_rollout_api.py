"""Orders of rollouts over HTTP, at a control node of its own group."""

from __future__ import annotations

import json

import gevent
import gevent.socket as gsocket
import pytest

from pistachiopath.messages.rollout_totals import (
    OrderTotals,
    RolloutTotals,
    VersionTotals,
)
from pistachiopath.platform import rollout_api
from pistachiopath.platform.control_program import ControlProgram
from pistachiopath.platform.settings import PlatformSettings
from pistachiopath.telemetry.metrics import Metrics
from tests.harness.waiting import wait_until
from tools.free_address import free_address

from .test_configuration import VALID, encode
from .test_control_api import announcement

PATH = '/pistachiopath/rollouts'


class ControlNode:
    def __init__(self, folder, node='', **settings):
        self.node = node = node or free_address()
        port = int(node.split(':')[1])
        self.address = free_address()
        self.metrics = Metrics()
        cfg = PlatformSettings(
            name='n',
            role='control',
            zone='a',
            ip='127.0.0.1',
            control=self.address,
            data_folder=str(folder),
            seeds=(node,),
            ports=(port, port + 15),
            is_first_start=True,
            tolerated_losses=0,
            **settings,
        )
        self.program = ControlProgram(cfg, self.metrics)
        self.program.start()

    @property
    def core(self):
        return self.program._shell.core

    def call(self, method, path, content=b''):
        host, port = self.address.split(':')
        head = f'{method} {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n'
        head += f'Content-Length: {len(content)}\r\n\r\n'
        with gsocket.create_connection((host, int(port)), 5.0) as conn:
            conn.sendall(head.encode() + content)
            answer = b''
            while part := conn.recv(4096):
                answer += part
        return int(answer.split()[1]), answer.partition(b'\r\n\r\n')[2]

    def configure(self):
        for _ in range(50):
            path = '/pistachiopath/config'
            if self.call('PUT', path, encode(VALID))[0] == 200:
                return
            gevent.sleep(0.1)
        raise TimeoutError

    def order(self, **changes):
        body = {'backend': 'model', 'to': 'v2', 'duration_s': 12} | changes
        return self.call('POST', PATH, json.dumps(body).encode())[0]

    def state(self, service='model'):
        status, body = self.call('GET', f'{PATH}/{service}')
        return (status, json.loads(body)) if status == 200 else (status, None)


@pytest.fixture
def node(tmp_path):
    node = ControlNode(tmp_path, exposure_share=0.1)
    yield node
    node.program.stop()


def test_an_order_is_acknowledged_again_and_another_version_refused(node):
    node.configure()
    assert node.state() == (404, None)
    assert node.order() == 200
    assert node.state() == (200, {'state': 'active', 'to': 'v2'})
    order = node.core.rollouts.records['model'].order
    assert node.order() == 200
    assert node.order(to='v3') == 409
    assert node.core.rollouts.records['model'].order == order
    assert node.order(backend='plain', to='v3') == 200
    assert node.state('plain') == (200, {'state': 'active', 'to': 'v3'})
    assert 'rollout_orders_total{outcome="conflict"} 1' in node.metrics.render()


ODD = [
    {'duration_s': 0},
    {'duration_s': -1},
    {'duration_s': '12'},
    {'duration_s': True},
    {'duration_s': float('nan')},
    {'duration_s': 1e300},
    {'duration_s': None},
    {'to': ''},
    {'to': '?r1.7'},
    {'to': 7},
    {'to': '\ud800'},
    {'to': 'a\0'},
    {'backend': ''},
    {'backend': 'unknown'},
    {'backend': None},
]


def test_unreadable_orders_are_refused_and_change_nothing(node):
    node.configure()
    for changes in ODD:
        assert node.order(**changes) == 400, changes
    for body in (b'', b'\xff', b'[]', b'[' * 100_000, b'{"to":' + b'9' * 5000):
        assert node.call('POST', PATH, body)[0] == 400
    for path in (f'{PATH}/', f'{PATH}/%ff', f'{PATH}/%00', f'{PATH}x'):
        assert node.call('GET', path)[0] == 404
    assert node.call('GET', PATH)[0] == 405
    assert node.call('POST', f'{PATH}/model')[0] == 405
    assert not node.core.rollouts.records


def test_a_node_without_a_leader_is_not_sure(tmp_path, monkeypatch):
    monkeypatch.setattr(rollout_api, 'ANSWER_TIMEOUT_S', 0.1)
    node = ControlNode(tmp_path, exposure_share=0.1)
    try:
        node.configure()
        monkeypatch.setattr(type(node.core), 'leader', property(lambda self: ''))
        assert node.order() == 503
        assert node.order(backend='unknown') == 503
        assert node.state() == (503, None)
    finally:
        node.program.stop()


@pytest.mark.parametrize('settings', [{}, {'exposure_share': 0.0}])
def test_without_the_setting_the_paths_do_not_exist(tmp_path, settings):
    node = ControlNode(tmp_path, **settings)
    try:
        node.configure()
        assert node.order() == 404
        assert node.state() == (404, None)
        assert node.call('GET', PATH)[0] == 404
        assert not node.program._shell.announcer.rollouts(1.0)
    finally:
        node.program.stop()


def totals(version, answered, failed):
    sent = answered + failed
    return VersionTotals(
        version=version,
        route='r',
        sent=sent,
        ended=sent,
        answered=answered,
        failed=failed,
    )


def test_a_node_rolls_back_by_the_totals_and_keeps_that_over_a_restart(tmp_path):
    node = ControlNode(tmp_path, exposure_share=0.1)
    try:
        node.configure()
        node.call('PUT', '/pistachiopath/replicas/r1', announcement())
        assert node.order() == 200
        assert node.core.rollouts.records['model'].earlier == ('v1',)
        rows = (totals('v1', 900, 0), totals('v2', 10, 30))
        order = OrderTotals(service='model', order=1, versions=rows)
        body = RolloutTotals(session=1, orders=(order,))
        node.program._shell._on_message('e1:1', 0, body)
        wait_until(lambda: node.state()[1]['state'] == 'rolled_back')
        assert node.core.rollouts.records['model'].sent_new == 40
        metric = 'rollout_changes_total{stage="canary",state="rolled_back"} 1'
        wait_until(lambda: metric in node.metrics.render())
    finally:
        node.program.stop()
    again = ControlNode(tmp_path, node=node.node, exposure_share=0.1)
    try:
        wait_until(lambda: again.state()[0] == 200)
        assert again.state()[1] == {'state': 'rolled_back', 'to': 'v2'}
        assert again.order() == 200
        assert again.state()[1]['state'] == 'rolled_back'
    finally:
        again.program.stop()
