"""A target crashes while flows of another target are sought."""

import signal
import sys
import time
from pathlib import Path

import gevent

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402
from harness import CONTACT_S, Deployment, Record  # noqa: E402
from soak.cluster import SERVICE_HOST  # noqa: E402

FLOWS = 16
BOOKINGS_PORT = 443
#: The site's largest outage of a crashed target is 4.5 s.
OUTAGE_S = 3.5


def main():
    record = Record(HERE / 'record.txt')
    cluster = Deployment(seed=1, record=record, balancers=2, agents=2)
    try:
        broken = run(cluster, record)
    finally:
        cluster.stop()
    harness.finish(record, 'FLOW', broken)


def run(cluster, record):
    cluster.start()
    cluster.await_service()
    gevent.sleep(5)
    client = cluster.clients[0]
    flows = []
    for number in range(FLOWS):
        flow = client.open((SERVICE_HOST, BOOKINGS_PORT))
        if flow and client.request(flow, f'first-{number}', 'bookings'):
            flows.append(flow)
    hosts = cluster.hosts_of('bookings')
    crashed, kept = hosts[0], hosts[1]
    watched = [
        flow
        for flow in flows
        if cluster.targets[kept].holds(flow.client_endpoint)
    ]
    record.write(f'{len(watched)} flows are at {cluster.targets[kept].name}')
    if not watched:
        harness.fail_to_run('no flow at the target that is kept')
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
    tasks = [
        gevent.spawn(client.request, flow, f'second-{index}', 'bookings')
        for index, flow in enumerate(watched)
    ]
    gevent.joinall(tasks, timeout=OUTAGE_S)
    gevent.sleep(max(crashed_s + OUTAGE_S - time.monotonic(), 0))
    record.write('the target starts again')
    if harness.has_trouble():
        cluster.start_target(crashed)
    gevent.sleep(3)
    broken = [
        f'open flow {flow.client_endpoint}, held by'
        f' {cluster.targets[kept].name}, was reset'
        for flow in watched
        if flow.is_reset
    ]
    for host in cluster.hosts:
        for line in cluster.log_of(host).splitlines():
            record.write(f'log: {line[:240]}')
    return broken


if __name__ == '__main__':
    main()
