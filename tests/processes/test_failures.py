"""Nodes that are killed or frozen while clients use them."""

import signal
from typing import Final

import gevent

from tests.processes.firm import Firm, assert_serves, finish, post
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


def test_killed_target_vm(firm: Firm) -> None:
    """Guards against lost clients of other targets and a second run.

    Three requests of one connection need more than the two slots of its
    agent, so one of them runs on another target, whose VM is killed.
    """
    clients = firm.open_clients(2)
    owner = clients[1][0]
    names = ['killed-a', 'killed-b', 'killed-c']
    running = {name: post(owner, name, 3000) for name in names}
    firm.wait_started(*names)
    moved = next(name for name in names if firm.runner(name) != 1)
    victim = firm.runner(moved)
    direct = post(clients[victim][0], 'killed-direct', 3000)
    firm.wait_started('killed-direct')
    assert firm.runner('killed-direct') == victim

    firm.cluster.kill_target(victim)
    wait_until(
        lambda: all(client.end_reason for client in clients[victim]),
        'the clients of the killed target learn of it',
    )

    reasons = {client.end_reason for client in clients[victim]}
    assert reasons == {'stateless reset'}
    assert finish(direct).failure == 'stateless reset'
    assert finish(running.pop(moved)).outcome == 'unknown'
    assert {finish(rest).outcome for rest in running.values()} == {'answered'}
    for number in set(TARGETS) - {victim}:
        for index, client in enumerate(clients[number]):
            assert_serves(client, f'killed-after-{number}-{index}')
    starts = firm.starts()
    assert {starts[name] for name in (*names, 'killed-direct')} == {1}
    firm.restart_target(victim)


def test_frozen_balancer(firm: Firm) -> None:
    """Guards against connections that break while a balancer is frozen."""
    clients = [
        client for found in firm.open_clients(1).values() for client in found
    ]
    firm.send('balancer-3', signal.SIGSTOP)
    try:
        gevent.sleep(FREEZE_S)
    finally:
        firm.send('balancer-3', signal.SIGCONT)

    firm.use_balancers(3)
    try:
        for index, client in enumerate(clients):
            assert_serves(client, f'thawed-{index}')
        wait_until(lambda: firm.is_ready(BALANCER, 3), 'balancer 3 is ready')
        assert_serves(firm.open_client(), 'thawed-new')
    finally:
        firm.use_balancers(*BALANCERS)
    assert 'event=freeze_detected' in firm.log('balancer-3')
    assert max(firm.starts().values()) == 1


def test_frozen_agent(firm: Firm) -> None:
    """Guards against runs of requests that expired during a freeze.

    Nobody else serves statements, so the waiting requests cannot move.
    """
    client = firm.open_client(STATEMENTS)
    running = ['frozen-running-a', 'frozen-running-b']
    waiting = ['frozen-waiting-a', 'frozen-waiting-b']
    # The slots are free again when the agent resumes, so that only the
    # deadline keeps the waiting requests from running.
    for name in running:
        post(client, name, 2500)
    firm.wait_started(*running)
    late = [
        post(client, name, anvilthread_deadline_ms='2000') for name in waiting
    ]
    firm.wait_metric(AGENT, 4, 'anvilthread_requests_waiting', len(waiting))
    firm.send('agent-4', signal.SIGSTOP)
    try:
        gevent.sleep(FREEZE_S)
    finally:
        firm.send('agent-4', signal.SIGCONT)

    firm.wait_metric(AGENT, 4, 'anvilthread_requests_waiting', 0)
    firm.wait_metric(AGENT, 4, 'anvilthread_slots_busy', 0)
    wait_until(lambda: firm.is_ready(AGENT, 4), 'agent 4 is ready')
    firm.wait_members()
    assert_serves(firm.open_client(STATEMENTS), 'frozen-after')
    for response in late:
        # The client may have been sent a reset while the agent was frozen.
        assert finish(response).outcome in {'not-run', ''}
    starts = firm.starts()
    assert [starts[name] for name in waiting] == [0, 0]
    assert max(starts.values()) == 1
