"""Planned changes of nodes, keys and configuration."""

import json
import signal

import pytest

from anvilthread.settings.key_kind import KeyKind
from tests.processes.firm import Firm, assert_serves, finish, post
from tests.processes.nodes import (
    AGENT,
    BALANCER,
    BALANCERS,
    BOOKINGS,
)
from tests.processes.waiting import wait_until

_KEY_PATH = '/.well-known/anvilthread/execution-key'


def test_execution_key_on_another_agent(firm: Firm) -> None:
    """Guards against a second run of a repeat that reaches another agent."""
    issuer = firm.open_client()
    number = firm.agent_of(issuer)
    other = firm.open_client_at(lambda agent: agent != number)
    key = json.loads(finish(issuer.request('GET', _KEY_PATH)).body)['key']

    first = finish(post(other, 'keyed', idempotency_key=key))
    repeat = finish(post(other, 'keyed', idempotency_key=key))
    at_issuer = finish(post(issuer, 'keyed', idempotency_key=key))

    for response in (first, repeat, at_issuer):
        assert response.outcome == 'answered', bytes(response.body)
        assert bytes(response.body) == b'ran keyed'
    assert firm.starts()['keyed'] == 1


def test_graceful_stop_of_agent(firm: Firm) -> None:
    """Guards against a planned stop that cuts off requests in progress."""
    client = firm.open_client()
    number = firm.agent_of(client)
    names = ['stop-a', 'stop-b']
    running = {name: post(client, name, 1000) for name in names}
    firm.wait_started(*names)
    assert {firm.runner(name) for name in names} == {number}

    firm.send(f'agent-{number}', signal.SIGTERM)
    wait_until(
        lambda: 'event=drain_started' in firm.log(f'agent-{number}'),
        'the agent has begun to stop',
    )
    later = {f'stop-late-{index}': None for index in range(4)}
    for name in later:
        later[name] = post(client, name)

    for name, response in running.items():
        assert finish(response).outcome == 'answered', response.failure
        assert bytes(response.body) == f'ran {name}'.encode()
    for name, response in later.items():
        assert finish(response).outcome in {'answered', 'not-run'}, (
            response.failure
        )
        answered = response.outcome == 'answered'
        assert firm.starts()[name] == int(answered)
        assert firm.runner(name) != number
    assert firm.wait_exit(f'agent-{number}') == 0
    firm.cluster.processes.kill(f'target-{number}')
    firm.restart_target(number)


def test_configuration_from_peers(firm: Firm) -> None:
    """Guards against new nodes that need the store or local files."""
    firm.apply()
    firm.cluster.set_store(outage=True)
    try:
        firm.cluster.add_balancer(4, announce=False, files=False)
        firm.cluster.add_target(5, (BOOKINGS,), files=False)
        for kind, number in ((BALANCER, 4), (AGENT, 5)):
            firm.wait_ready(kind, number)
            firm.wait_metric(
                kind, number, 'anvilthread_configuration_revision', 1
            )
        firm.use_balancers(4)
        client = firm.open_client_at(lambda agent: agent == 5)
        assert_serves(client, 'from-peers')
        assert firm.runner('from-peers') == 5
    finally:
        firm.cluster.set_store(outage=False)
        firm.remove('balancer-4', 'agent-5', 'target-5')
    firm.wait_members()


def test_node_with_other_keys(firm: Firm) -> None:
    """Guards against a node of another cluster that gets requests."""
    keys = firm.directory / 'other-keys.toml'
    firm.call_plain('key', 'new', str(keys))
    firm.cluster.add_target(6, (BOOKINGS,), keys=keys)
    try:
        wait_until(
            lambda: (
                'refused' in firm.log('agent-6')
                or any(
                    'refused' in firm.log(f'balancer-{n}') for n in BALANCERS
                )
            ),
            'a log tells of the refused node',
        )
        for number in BALANCERS:
            assert not any(
                target['request'] == firm.request_address(AGENT, 6)
                for target in firm.targets(number)
            )
        assert not firm.is_ready(AGENT, 6)
        logs = firm.log('agent-6') + ''.join(
            firm.log(f'balancer-{number}') for number in BALANCERS
        )
        assert 'remedy=' in logs
    finally:
        firm.remove('agent-6', 'target-6')


@pytest.mark.parametrize(
    'kinds',
    [
        (KeyKind.CONNECTION_ID, KeyKind.DATAGRAM, KeyKind.EXECUTION),
        (KeyKind.CURVE,),
    ],
    ids='-'.join,
)
def test_key_rotation(firm: Firm, kinds: tuple[KeyKind, ...]) -> None:
    """Guards against connections that break in a rotation of any key."""
    old = [found[0] for found in firm.open_clients(1).values()]
    for step in ('add', 'activate'):
        firm.rotate(kinds, step)
        for index, client in enumerate((*old, firm.open_client())):
            assert_serves(client, f'{kinds[0]}-{step}-{index}')
    # The old connection IDs end with their connections, as the manual wants.
    for client in old:
        client.close()
    new = [found[0] for found in firm.open_clients(1).values()]
    firm.rotate(kinds, 'remove')
    for index, client in enumerate((*new, firm.open_client())):
        assert_serves(client, f'{kinds[0]}-remove-{index}')

    # A node that knows only the new key proves that the others use it: its
    # membership, its handovers and the execution keys of others must work.
    issuer = firm.open_client_at(lambda agent: agent != 1)
    firm.cluster.kill_target(1)
    firm.restart_target(1)
    client = firm.open_client_at(lambda agent: agent == 1)
    long = [f'{kinds[0]}-long-{index}' for index in range(2)]
    running = [post(client, name, 3000) for name in long]
    firm.wait_started(*long)
    # A new peer may answer after its reservation has expired, which is a
    # definite refusal that clients may repeat.
    moved = f'{kinds[0]}-moved'
    wait_until(
        lambda: finish(post(client, moved)).outcome == 'answered',
        'another agent runs the request',
    )
    assert firm.runner(moved) != 1
    assert {finish(one).outcome for one in running} == {'answered'}
    key = json.loads(finish(issuer.request('GET', _KEY_PATH)).body)['key']
    keyed = finish(post(client, f'{kinds[0]}-keyed', idempotency_key=key))
    assert keyed.outcome == 'answered', bytes(keyed.body)
