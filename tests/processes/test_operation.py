"""Planned changes of nodes, keys and configuration."""

import json
import signal

from tests.processes.firm import Firm, assert_serves, finish, post
from tests.processes.nodes import (
    AGENT,
    BALANCER,
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
