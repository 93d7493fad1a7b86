"""Nodes that are killed or frozen while clients use them."""

import signal
from typing import Final

import gevent

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
    STATEMENTS,
    TARGETS,
)
from tests.processes.waiting import wait_until

#: Longer than membership needs to declare a frozen node dead.
FREEZE_S: Final = 3


def test_killed_target_vm(harness: ClusterHarness) -> None:
    """Guards against lost connections to other targets and a second run.

    Three requests of one connection exceed the two slots of its agent, so
    that one of them runs on another target, whose VM is killed.
    """
    clients = harness.open_clients(2)
    owner = clients[1][0]
    names = ['killed-a', 'killed-b', 'killed-c']
    running = {name: post(owner, name, 3000) for name in names}
    harness.wait_started(*names)
    moved = next(name for name in names if harness.target_of(name) != 1)
    victim = harness.target_of(moved)
    direct = post(clients[victim][0], 'killed-direct', 3000)
    harness.wait_started('killed-direct')
    assert harness.target_of('killed-direct') == victim

    harness.cluster.kill_target(victim)
    wait_until(
        lambda: all(client.end_reason for client in clients[victim]),
        'the connections to the killed target end',
    )

    reasons = {client.end_reason for client in clients[victim]}
    assert reasons == {'stateless reset'}
    assert wait_for_end(direct).failure == 'stateless reset'
    assert wait_for_end(running.pop(moved)).outcome == 'unknown'
    assert {wait_for_end(rest).outcome for rest in running.values()} == {
        'answered'
    }
    for number in set(TARGETS) - {victim}:
        for index, client in enumerate(clients[number]):
            assert_serves(client, f'killed-after-{number}-{index}')
    starts = harness.starts()
    assert {starts[name] for name in (*names, 'killed-direct')} == {1}
    harness.restart_target(victim)


def test_frozen_balancer(harness: ClusterHarness) -> None:
    """Guards against connections that break while a balancer is frozen."""
    clients = [
        client for found in harness.open_clients(1).values() for client in found
    ]
    harness.send_signal('balancer-3', signal.SIGSTOP)
    try:
        gevent.sleep(FREEZE_S)
    finally:
        harness.send_signal('balancer-3', signal.SIGCONT)

    harness.use_balancers(3)
    try:
        for index, client in enumerate(clients):
            assert_serves(client, f'thawed-{index}')
        wait_until(lambda: harness.is_ready(BALANCER, 3), 'balancer 3 is ready')
        assert_serves(harness.open_client(), 'thawed-new')
    finally:
        harness.use_balancers(*BALANCERS)
    assert 'event=freeze_detected' in harness.log('balancer-3')
    assert max(harness.starts().values()) == 1


def test_frozen_agent(harness: ClusterHarness) -> None:
    """Guards against runs of requests that expired while an agent is frozen.

    No other target serves statements, so that the waiting requests cannot be
    handed over.
    """
    client = harness.open_client(STATEMENTS)
    running = ['frozen-running-a', 'frozen-running-b']
    waiting = ['frozen-waiting-a', 'frozen-waiting-b']
    # The slots are free again when the agent resumes, so that only the
    # deadline keeps the waiting requests from running.
    for name in running:
        post(client, name, 2500)
    harness.wait_started(*running)
    late = [
        post(client, name, anvilthread_deadline_ms='2000') for name in waiting
    ]
    harness.wait_metric(AGENT, 4, 'anvilthread_requests_waiting', len(waiting))
    harness.send_signal('agent-4', signal.SIGSTOP)
    try:
        gevent.sleep(FREEZE_S)
    finally:
        harness.send_signal('agent-4', signal.SIGCONT)

    harness.wait_metric(AGENT, 4, 'anvilthread_requests_waiting', 0)
    harness.wait_metric(AGENT, 4, 'anvilthread_slots_busy', 0)
    wait_until(lambda: harness.is_ready(AGENT, 4), 'agent 4 is ready')
    harness.wait_agents_known()
    assert_serves(harness.open_client(STATEMENTS), 'frozen-after')
    for response in late:
        # The client may have been sent a reset while the agent was frozen.
        assert wait_for_end(response).outcome in {'not-run', ''}
    starts = harness.starts()
    assert [starts[name] for name in waiting] == [0, 0]
    assert max(starts.values()) == 1


def test_killed_target_process(harness: ClusterHarness) -> None:
    """Guards against lost waiting requests and repeated running ones.

    Eight requests of one connection fill the six slots of bookings, so that
    two of them wait when the process of the target is killed.
    """
    client = harness.open_client()
    number = harness.agent_of(client)
    local = [f'process-{index}' for index in range(2)]
    rest = [f'process-{index}' for index in range(2, 8)]
    responses = {name: post(client, name, 3000) for name in local}
    harness.wait_started(*local)
    assert {harness.target_of(name) for name in local} == {number}
    responses |= {name: post(client, name, 3000) for name in rest}
    wait_until(
        lambda: len(set(harness.starts()) & set(rest)) == 4,
        'the other targets are full',
    )
    harness.wait_metric(AGENT, number, 'anvilthread_requests_waiting', 2)
    waiting = set(rest) - set(harness.starts())

    harness.cluster.processes.kill(f'target-{number}')

    assert {wait_for_end(responses[name]).outcome for name in local} == {
        'unknown'
    }
    failed = [
        (name, name in waiting, bytes(responses[name].body))
        for name in rest
        if wait_for_end(responses[name]).outcome != 'answered'
    ]
    assert not failed
    assert number not in {harness.target_of(name) for name in waiting}
    assert not client.is_broken
    starts = harness.starts()
    assert {starts[name] for name in responses} == {1}
    harness.start_target_process(number)
    assert_serves(client, 'process-after')
