"""Applies a configuration and watches it come into force at three nodes.

Run ``python -m examples.configuration``. Everything stays on loopback.
"""

from collections.abc import Sequence
from functools import partial
from pathlib import Path
from random import Random

import gevent

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.configuration import (
    Applier,
    Configuration,
    ConfigurationNode,
    ConfigurationRecord,
    Proposal,
    texts_from_files,
)
from anvilthread.store import ConsulStore
from anvilthread.transport import (
    ChannelName,
    Channels,
    CurveKeyPair,
    ZmqTransport,
)
from standins.store import StoreServer

_FILES = Path(__file__).parent / 'configuration' / 'blue-mahoe'
_LOCAL = Address(host='127.0.0.1', port=0)


class FixedPeers:
    """Nodes that are known from the start, all at one site."""

    def __init__(self) -> None:
        self.addresses: list[Address] = []

    def everywhere(self) -> Sequence[Address]:
        """All nodes."""
        return self.addresses

    def same_site(self) -> Sequence[Address]:
        """All nodes."""
        return self.addresses


def show(number: int, record: ConfigurationRecord, here: Configuration) -> None:
    """Prints the services of a node."""
    carried = ', '.join(here.carried_at('kgn-b'))
    print(f'node {number}: revision {record.revision}, carries {carried}')


def start_node(
    number: int, keys: CurveKeyPair, peers: FixedPeers, url: str
) -> ConfigurationNode:
    """Starts a node that prints each configuration in force."""
    clock = SystemClock()
    channels = Channels(
        transport=ZmqTransport(address=_LOCAL, keys=(keys,), clock=clock)
    )
    transport = channels.channel(ChannelName.CONFIGURATION)
    peers.addresses.append(transport.address)
    node = ConfigurationNode(
        site='kgn-b',
        store=ConsulStore(url=url, clock=clock),
        transport=transport,
        peers=peers,
        clock=clock,
        random=Random(number),
    )
    node.subscribe(partial(show, number))
    node.start()
    return node


def main() -> None:
    """Runs a store stand-in, three nodes and one change."""
    clock = SystemClock()
    server = StoreServer(listen=_LOCAL, clock=clock)
    server.start()
    peers = FixedPeers()
    keys = CurveKeyPair.generate()
    nodes = [start_node(one, keys, peers, server.url) for one in (1, 2, 3)]
    applier = Applier(
        store=ConsulStore(url=server.url, clock=clock),
        clock=clock,
        random=Random(0),
        peer_revision=lambda: max(node.revision for node in nodes),
    )
    files = {path.name: path.read_text() for path in _FILES.glob('*.toml')}
    applied = applier.apply(
        Proposal(
            texts=texts_from_files(files),
            expected=0,
            change_id='example-1',
            operator='example',
        )
    ).unwrap()
    print(f'applied revision {applied.revision}')
    with gevent.Timeout(10):
        while any(node.revision < applied.revision for node in nodes):
            gevent.sleep(0.05)
    for node in nodes:
        node.stop()
    server.stop()


if __name__ == '__main__':
    main()
