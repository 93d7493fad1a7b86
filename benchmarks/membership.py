"""Control traffic, processor time and memory of membership.

All nodes run in one process on an in-memory network in virtual time, so the
processor time includes the network and clock of the stand-ins.
"""

import time
import tracemalloc
from typing import Final

from anvilthread.membership import MemberState, MemberTable
from standins.membership_cluster import MembershipCluster, address_of

_SIZES: Final = (20, 60, 180, 400)
_SITES: Final = ('site-a', 'site-b', 'site-c')
_WARM_UP_MS: Final = 2000
_MEASURED_S: Final = 5
_MS_PER_SECOND: Final = 1000
_MEMBERS: Final = 48_500
_TAG_BYTES: Final = 8
_DETECTION_TIMEOUT_MS: Final = 5000
_DETECTION_STEP_MS: Final = 25
_REPLACEMENT_SIZE: Final = 60
_REPLACEMENTS: Final = 8
_REPLACEMENT_INTERVAL_MS: Final = 2500
_SETTLE_MS: Final = 10_000


def run() -> None:
    """Prints the measurements; takes less than 60 s."""
    print('steady state, per node; bytes include the tag of each datagram')
    rates = [_measure(size) for size in _SIZES]
    span = _SIZES[-1] - _SIZES[0]
    slope = (rates[-1] - rates[0]) / span
    print(f'slope {slope:.3f} B/s per node from {_SIZES[0]} to {_SIZES[-1]}')
    _measure_replacements()
    _measure_memory()


def _measure(size: int) -> float:
    cluster = _start_converged(size)
    network = cluster.network
    sent, messages = network.bytes_sent, network.messages
    started = time.process_time()
    cluster.clock.advance(_MEASURED_S * _MS_PER_SECOND)
    cpu_ms = (time.process_time() - started) * _MS_PER_SECOND
    messages = network.messages - messages
    sent = network.bytes_sent - sent + messages * _TAG_BYTES
    node_seconds = size * _MEASURED_S
    detection_ms = _measure_detection_ms(cluster, size - 1)
    print(
        f'nodes={size} bytes_per_s={sent / node_seconds:.0f}'
        f' messages_per_s={messages / node_seconds:.1f}'
        f' processor_ms_per_s={cpu_ms / node_seconds:.2f}'
        f' death_known_to_all_ms={detection_ms}',
    )
    cluster.stop()
    return sent / node_seconds


def _start_converged(size: int) -> MembershipCluster:
    """Starts nodes whose member tables are complete from the start."""
    cluster = MembershipCluster(seed=size, sites=_SITES, seeds=0)
    for number in range(size):
        cluster.add(number)
    members = [each.node.member for each in cluster.nodes.values()]
    for each in cluster.nodes.values():
        for member in members:
            each.node.table.put(member)
    # Wait for the end of the first announcements.
    cluster.clock.advance(_WARM_UP_MS)
    return cluster


def _measure_detection_ms(
    cluster: MembershipCluster, number: int
) -> int | None:
    """Kills a node and returns the time until all others know it as dead."""
    started_ms = cluster.clock.now_ms()
    cluster.kill(number)
    while cluster.clock.now_ms() - started_ms < _DETECTION_TIMEOUT_MS:
        cluster.clock.advance(_DETECTION_STEP_MS)
        if set(cluster.states(number).values()) == {MemberState.DEAD}:
            return cluster.clock.now_ms() - started_ms
    return None


def _measure_replacements() -> None:
    """Prints the traffic while VMs are killed and replaced."""
    cluster = MembershipCluster(seed=1, sites=_SITES)
    cluster.add_all(_REPLACEMENT_SIZE, settle_ms=_SETTLE_MS)
    network = cluster.network
    sent, messages = network.bytes_sent, network.messages
    for number in range(_REPLACEMENTS):
        cluster.kill(number + 3)
        cluster.add(number + _REPLACEMENT_SIZE)
        cluster.clock.advance(_REPLACEMENT_INTERVAL_MS)
    messages = network.messages - messages
    sent = network.bytes_sent - sent + messages * _TAG_BYTES
    seconds = _REPLACEMENTS * _REPLACEMENT_INTERVAL_MS / _MS_PER_SECOND
    rate = sent / seconds / _REPLACEMENT_SIZE
    print(
        f'nodes={_REPLACEMENT_SIZE}'
        f' replaced_every_ms={_REPLACEMENT_INTERVAL_MS}'
        f' bytes_per_s={rate:.0f}',
    )
    cluster.stop()


def _measure_memory() -> None:
    cluster = MembershipCluster(seed=0, sites=_SITES)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    table = MemberTable()
    for number in range(_MEMBERS):
        table.put(cluster.member(number))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    used = after - before
    known = table.get(address_of(_MEMBERS - 1)) is not None
    print(
        f'members={len(table)} all_known={known}'
        f' bytes_per_member={used / _MEMBERS:.0f}'
        f' total_mb={used / 1e6:.0f}',
    )


if __name__ == '__main__':
    run()
