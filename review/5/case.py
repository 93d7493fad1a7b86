"""A target restarts after its machine's time of day has jumped back."""

import sys
import time
from pathlib import Path

import gevent

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import harness  # noqa: E402
from harness import (  # noqa: E402
    CONTACT_S,
    DRAIN_S,
    Deployment,
    Record,
    SERVICE_HOST,
    Target,
)

BOOKINGS_PORT = 443
#: Jump of the time of day, and its length.
STEP_MS = 2000
STEP_S = 6.0
#: Time for which the crashed target is down.
OUTAGE_S = 1.0
PROBE_S = 0.03


def main():
    record = Record(HERE / 'record.txt')
    cluster = Deployment(seed=1, record=record, balancers=2, agents=7)
    try:
        broken = run(cluster, record)
    finally:
        cluster.stop()
    harness.finish(record, 'DRAIN', broken)


def send_requests(client, sent):
    """Opens a flow for each request, and notes when it did so."""
    while True:
        request = f'r-{len(sent)}'
        sent[request] = time.monotonic()
        gevent.spawn(send_request, client, request)
        gevent.sleep(PROBE_S)


def send_request(client, request):
    """Sends one request on a flow of its own."""
    flow = client.open((SERVICE_HOST, BOOKINGS_PORT))
    if flow is not None:
        client.request(flow, request, 'bookings')
        client.close(flow)


def run(cluster, record):
    cluster.start()
    cluster.await_service()
    sent = {}
    traffic = gevent.spawn(send_requests, cluster.clients[0], sent)
    gevent.sleep(2)
    host = cluster.hosts_of('bookings')[0]
    # A new target starts, crashes soon after, and is started again.
    cluster.start_target(host)
    record.write(f'target {cluster.targets[host].name} starts')
    gevent.sleep(0.5)
    if harness.has_trouble():
        Target.clock_offsets_ms[host] = -STEP_MS
        record.write(f'the time of day of {host} jumps back')
    cluster.targets[host].stop()
    record.write(f'target {cluster.targets[host].name} crashes')
    gevent.sleep(OUTAGE_S)
    cluster.start_target(host)
    target = cluster.targets[host]
    record.write(f'target {target.name} starts')
    gevent.sleep(STEP_S)
    Target.clock_offsets_ms.clear()
    record.write(f'the time of day of {host} is right again')
    gevent.sleep(CONTACT_S + 1)
    target.drain()
    gevent.sleep(0.2)
    if target.drained_s is None:
        harness.fail_to_run('the drain was not acknowledged')
    record.write(f'the drain of {target.name} is acknowledged')
    gevent.sleep(2 * DRAIN_S)
    traffic.kill()
    broken = []
    for request, sent_s in sent.items():
        late_s = sent_s - target.drained_s
        is_at_target = ('bookings', target.name) in record.runs[request]
        if late_s > DRAIN_S and is_at_target:
            broken.append(
                f'{request}, opened {late_s:.2f} s after the acknowledgement,'
                f' reached {target.name}'
            )
    return broken


if __name__ == '__main__':
    main()
