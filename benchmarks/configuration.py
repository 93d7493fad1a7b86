"""Propagation time, bytes and store calls of the configuration component."""

from random import Random
from statistics import linear_regression, median
from time import process_time
from typing import Final

import msgspec

from anvilthread.configuration import (
    ConfigurationTexts,
    Proposal,
    encode_record,
    load_site,
)
from anvilthread.configuration.delta import make_delta
from anvilthread.store import CallKind
from standins.configuration_fleet import Fleet, proposal

_CLUSTER_SIZES: Final = (10, 40, 160, 400, 1600)
_CHANGES: Final = 10
_CHANGE_INTERVAL_MS: Final = 6000
_CHANGES_PER_DAY: Final = 14_000
_SECONDS_PER_DAY: Final = 86_400
_TARGET_ADDRESSES: Final = 10_000


def run() -> None:
    """Prints the measurements."""
    rows = [_measure(size) for size in _CLUSTER_SIZES]
    print('nodes  median  p99  slowest  bytes/node/change  calls/s  watches')
    for row in rows:
        print(
            f'{row["size"]:5.0f}  {row["median"]:6.0f} {row["p99"]:4.0f}  '
            f'{row["slowest"]:7.0f}  {row["bytes"]:17.0f}  '
            f'{row["calls"]:7.2f}  {row["watches"]:7.0f}'
        )
    for name, unit in (
        ('slowest', 'ms'),
        ('bytes', 'bytes per node and change'),
        ('calls', 'store calls per second'),
    ):
        # The row of 10 nodes is left out: there, the first watchers notify
        # nearly all nodes directly.
        slope = linear_regression(
            [row['size'] for row in rows[1:]], [row[name] for row in rows[1:]]
        ).slope
        print(f'slope of {name}: {slope * 1000:.3f} {unit} per 1000 nodes')
    _measure_record()


def _measure(size: int) -> dict[str, float]:
    """Applies a change every 6 s, about the rate of 14,000 changes a day."""
    fleet = Fleet(size=size)
    fleet.apply(proposal()).unwrap()
    fleet.clock.advance(30_000)
    fleet.state.calls.clear()
    fleet.network.bytes_sent = 0
    delays: list[float] = []
    for number in range(2, _CHANGES + 2):
        start_ms = fleet.clock.now_ms()
        change = proposal(deadline_ms=number, expected=number - 1)
        fleet.apply(change).unwrap()
        fleet.clock.advance(_CHANGE_INTERVAL_MS)
        assert fleet.revisions() == {number}
        delays.extend(at - start_ms for at in fleet.in_force_ms.values())
    waiting = fleet.state.waiting
    fleet.stop()
    delays.sort()
    seconds = _CHANGES * _CHANGE_INTERVAL_MS / 1000
    return {
        'size': size,
        'median': median(delays),
        'p99': delays[len(delays) * 99 // 100],
        'slowest': delays[-1],
        'bytes': fleet.network.bytes_sent / size / _CHANGES,
        'calls': fleet.state.total(*CallKind) / seconds,
        'watches': waiting,
    }


def _measure_record() -> None:
    """Prints the sizes at the expected number of addresses."""
    random = Random(1)
    old = _make_large_texts()
    overlay = '[services.service-77]\nqueue_limit = 9\n'
    new = msgspec.structs.replace(old, overlays={'site-1': overlay})
    moved = old.base.replace('"10.7.0.1:443"', '"10.250.0.1:443"')
    rebased = msgspec.structs.replace(old, base=moved)
    fleet = Fleet(size=0)
    record = fleet.apply(_make_proposal(old, 0, random)).unwrap().record
    record_bytes = len(encode_record(record).unwrap())
    print(f'record with {_TARGET_ADDRESSES} addresses: {record_bytes} bytes')
    load_site(old, 'site-1').unwrap()
    for name, texts in (('overlay', new), ('base', rebased)):
        after = (
            fleet.apply(_make_proposal(texts, record.revision, random))
            .unwrap()
            .record
        )
        size = len(msgspec.msgpack.encode(make_delta(record, after)))
        print(
            f'change in {name}: delta {size} bytes, '
            f'1/{record_bytes / size:.0f} of the whole; reading it takes '
            f'{_parsing_core_share(texts):.2%} of a core at 14,000 changes '
            f'a day'
        )
        record = after
    fleet.stop()


def _parsing_core_share(texts: ConfigurationTexts) -> float:
    start = process_time()
    load_site(texts, 'site-1').unwrap()
    return (process_time() - start) * _CHANGES_PER_DAY / _SECONDS_PER_DAY


def _make_proposal(
    texts: ConfigurationTexts, expected: int, random: Random
) -> Proposal:
    return Proposal(
        texts=texts,
        expected=expected,
        change_id=f'{random.getrandbits(128):032x}',
        operator='benchmark',
    )


def _make_large_texts() -> ConfigurationTexts:
    per_service = 20
    lines = [f'[sites.site-{number}]' for number in range(8)]
    for number in range(1, _TARGET_ADDRESSES // per_service + 1):
        high, low = divmod(number, 250)
        addresses = ', '.join(
            f'"10.{low}.{high}.{host}:443"'
            for host in range(1, per_service + 1)
        )
        lines.extend(
            (
                f'[services.service-{number}]',
                f'number = {number}',
                f'addresses = [{addresses}]',
                f'sites = ["site-{number % 8}", "site-{(number + 1) % 8}"]',
                f'deadline_ms = {1000 + number}',
            )
        )
    return ConfigurationTexts(base='\n'.join(lines), overlays={})
