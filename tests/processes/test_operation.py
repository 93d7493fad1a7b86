"""Planned changes of nodes, keys and configuration."""

import json
import signal

import pytest

from anvilthread.settings.key_kind import KeyKind
from tests.processes.cluster_harness import (
    ClusterHarness,
    assert_serves,
    post,
    wait_for_end,
)
from tests.processes.nodes import (
    AGENT,
    BALANCER,
    BALANCERS,
    BOOKINGS,
)
from tests.processes.waiting import wait_until

_KEY_PATH = '/.well-known/anvilthread/execution-key'


def test_execution_key_on_another_agent(harness: ClusterHarness) -> None:
    """Guards against a second run of a retry that reaches another agent."""
    issuer = harness.open_client()
    number = harness.agent_of(issuer)
    other = harness.open_client_at(lambda agent: agent != number)
    key = json.loads(wait_for_end(issuer.request('GET', _KEY_PATH)).body)['key']

    first = wait_for_end(post(other, 'keyed', idempotency_key=key))
    repeat = wait_for_end(post(other, 'keyed', idempotency_key=key))
    at_issuer = wait_for_end(post(issuer, 'keyed', idempotency_key=key))

    for response in (first, repeat, at_issuer):
        assert response.outcome == 'answered', bytes(response.body)
        assert bytes(response.body) == b'ran keyed'
    assert harness.starts()['keyed'] == 1


def test_graceful_stop_of_agent(harness: ClusterHarness) -> None:
    """Guards against a planned stop that cuts off requests in progress."""
    client = harness.open_client()
    number = harness.agent_of(client)
    names = ['stop-a', 'stop-b']
    running = {name: post(client, name, 1000) for name in names}
    harness.wait_started(*names)
    assert {harness.target_of(name) for name in names} == {number}

    harness.send_signal(f'agent-{number}', signal.SIGTERM)
    wait_until(
        lambda: 'event=drain_started' in harness.log(f'agent-{number}'),
        'the agent has begun to stop',
    )
    later = {f'stop-late-{index}': None for index in range(4)}
    for name in later:
        later[name] = post(client, name)

    for name, response in running.items():
        assert wait_for_end(response).outcome == 'answered', response.failure
        assert bytes(response.body) == f'ran {name}'.encode()
    for name, response in later.items():
        assert wait_for_end(response).outcome in {'answered', 'not-run'}, (
            response.failure
        )
        answered = response.outcome == 'answered'
        assert harness.starts()[name] == int(answered)
        assert harness.target_of(name) != number
    assert harness.wait_exit(f'agent-{number}') == 0
    harness.cluster.processes.kill(f'target-{number}')
    harness.restart_target(number)


def test_configuration_from_peers(harness: ClusterHarness) -> None:
    """Guards against new nodes that need the store or local files."""
    harness.apply()
    harness.cluster.set_store(outage=True)
    try:
        harness.cluster.add_balancer(4, announce=False, files=False)
        harness.cluster.add_target(5, (BOOKINGS,), files=False)
        for kind, number in ((BALANCER, 4), (AGENT, 5)):
            harness.wait_ready(kind, number)
            harness.wait_metric(
                kind, number, 'anvilthread_configuration_revision', 1
            )
        harness.use_balancers(4)
        client = harness.open_client_at(lambda agent: agent == 5)
        assert_serves(client, 'from-peers')
        assert harness.target_of('from-peers') == 5
    finally:
        harness.cluster.set_store(outage=False)
        harness.remove('balancer-4', 'agent-5', 'target-5')
    harness.wait_agents_known()


def test_node_with_other_keys(harness: ClusterHarness) -> None:
    """Guards against requests at a node with the keys of another cluster."""
    keys = harness.directory / 'other-keys.toml'
    harness.run_command('key', 'new', str(keys))
    harness.cluster.add_target(6, (BOOKINGS,), keys=keys)
    try:
        wait_until(
            lambda: (
                'refused' in harness.log('agent-6')
                or any(
                    'refused' in harness.log(f'balancer-{n}') for n in BALANCERS
                )
            ),
            'a log line reports the refused node',
        )
        for number in BALANCERS:
            assert not any(
                target['request'] == harness.request_address(AGENT, 6)
                for target in harness.targets(number)
            )
        assert not harness.is_ready(AGENT, 6)
        logs = harness.log('agent-6') + ''.join(
            harness.log(f'balancer-{number}') for number in BALANCERS
        )
        assert 'remedy=' in logs
    finally:
        harness.remove('agent-6', 'target-6')


@pytest.mark.parametrize(
    'kinds',
    [
        (KeyKind.CONNECTION_ID, KeyKind.DATAGRAM, KeyKind.EXECUTION),
        (KeyKind.CURVE,),
    ],
    ids='-'.join,
)
def test_key_rotation(
    harness: ClusterHarness, kinds: tuple[KeyKind, ...]
) -> None:
    """Guards against connections that break in a rotation of any key."""
    old = [found[0] for found in harness.open_clients(1).values()]
    for step in ('add', 'activate'):
        harness.rotate_keys(kinds, step)
        for index, client in enumerate((*old, harness.open_client())):
            assert_serves(client, f'{kinds[0]}-{step}-{index}')
    # Connections with IDs of the old key must end before it is removed, as the
    # manual requires.
    for client in old:
        client.close()
    new = [found[0] for found in harness.open_clients(1).values()]
    harness.rotate_keys(kinds, 'remove')
    for index, client in enumerate((*new, harness.open_client())):
        assert_serves(client, f'{kinds[0]}-remove-{index}')

    # A restarted node knows only the new key, which proves that the others use
    # it: its membership, its handovers and the execution keys of others must
    # work.
    issuer = harness.open_client_at(lambda agent: agent != 1)
    harness.cluster.kill_target(1)
    harness.restart_target(1)
    client = harness.open_client_at(lambda agent: agent == 1)
    long = [f'{kinds[0]}-long-{index}' for index in range(2)]
    running = [post(client, name, 3000) for name in long]
    harness.wait_started(*long)
    # A new peer may answer after its reservation has expired, which is a
    # definite refusal, so that clients may retry.
    moved = f'{kinds[0]}-moved'
    wait_until(
        lambda: wait_for_end(post(client, moved)).outcome == 'answered',
        'another agent runs the request',
    )
    assert harness.target_of(moved) != 1
    assert {wait_for_end(one).outcome for one in running} == {'answered'}
    key = json.loads(wait_for_end(issuer.request('GET', _KEY_PATH)).body)['key']
    keyed = wait_for_end(post(client, f'{kinds[0]}-keyed', idempotency_key=key))
    assert keyed.outcome == 'answered', bytes(keyed.body)
