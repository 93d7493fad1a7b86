"""A target crashes while flows of another target are sought."""

import signal
import sys
import time
from pathlib import Path

import gevent

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402
from harness import CONTACT_S, Deployment, Record, SERVICE_HOST  # noqa: E402

FLOWS = 192
#: Clients that send at the same time, and the time until the next ones do.
BURST = 24
BURST_GAP_S = 0.13
BOOKINGS_PORT = 443
#: The site's largest outage of a crashed target is 4.5 s.
OUTAGE_S = 3.5


def main():
    record = Record(HERE / 'record.txt')
    cluster = Deployment(seed=1, record=record, balancers=2, agents=7)
    try:
        broken = run(cluster, record)
    finally:
        cluster.stop()
    harness.finish(record, 'FLOW', broken)


def holder_of(cluster, hosts, flow):
    """Returns the name of the target that holds a flow; empty if none does."""
    for host in hosts:
        target = cluster.targets[host]
        if target.holds(flow.client_endpoint):
            return target.name
    return ''


def open_flow(client, number):
    """Opens a flow and gets the answer of its first request."""
    flow = client.open((SERVICE_HOST, BOOKINGS_PORT))
    if flow and client.request(flow, f'first-{number}', 'bookings'):
        return flow
    return None


def open_flows(client):
    """Opens flows with an answered request each, all at the same time."""
    tasks = [
        gevent.spawn(open_flow, client, number) for number in range(FLOWS)
    ]
    gevent.joinall(tasks)
    return [task.value for task in tasks if task.value]


def run(cluster, record):
    cluster.start()
    cluster.await_service()
    gevent.sleep(5)
    client = cluster.clients[0]
    crashed, *kept = cluster.hosts_of('bookings')
    watched = []
    for _ in range(3):
        flows = open_flows(client)
        watched = [
            flow
            for flow in flows
            if holder_of(cluster, kept, flow)
        ]
        if len(watched) > BURST:
            break
        gevent.sleep(2)
    record.write(f'{len(watched)} flows are at targets that live on')
    if not watched:
        harness.fail_to_run('no flow at a target that lives on')
    if harness.has_trouble():
        # All processes of the system are killed; the targets live on.
        for host in cluster.hosts:
            cluster.kill(host)
        record.write('all processes killed')
        gevent.sleep(1)
        for host in cluster.hosts:
            cluster.start_process(host)
    gevent.sleep(CONTACT_S + 2.5)
    crashed_s = time.monotonic()
    if harness.has_trouble():
        cluster.targets[crashed].stop()
        record.write(f'target {cluster.targets[crashed].name} crashes')
    gevent.sleep(0.3)
    tasks = []
    for index, flow in enumerate(watched):
        tasks.append(
            gevent.spawn(client.request, flow, f'second-{index}', 'bookings')
        )
        if index % BURST == BURST - 1:
            gevent.sleep(BURST_GAP_S)
    gevent.joinall(tasks, timeout=OUTAGE_S)
    gevent.sleep(max(crashed_s + OUTAGE_S - time.monotonic(), 0))
    record.write('the target starts again')
    if harness.has_trouble():
        cluster.start_target(crashed)
    gevent.sleep(3)
    return [
        f'open flow {flow.client_endpoint}, held by'
        f' {holder_of(cluster, kept, flow)}, was reset'
        for flow in watched
        if flow.is_reset and holder_of(cluster, kept, flow)
    ]


if __name__ == '__main__':
    main()
