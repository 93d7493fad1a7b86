"""Nodes that are killed or frozen while clients use them."""

from tests.processes.firm import (
    TARGETS,
    Firm,
    assert_serves,
    finish,
    post,
    wait_until,
)


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
