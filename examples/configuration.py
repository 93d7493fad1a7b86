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
from anvilthread.store.consul_store import ConsulStore
from anvilthread.transport import (
    ChannelName,
    Channels,
    CurveKeyPair,
    ZmqTransport,
)
from standins.store import StoreServer

_FILES = Path(__file__).parent / 'configuration' / 'blue-mahoe'
_NODES = 3
_LOCAL = Address(host='127.0.0.1', port=0)


class FixedPeers:
    """Static list of nodes, all at one site."""

    def __init__(self) -> None:
        self.addresses: list[Address] = []

    def everywhere(self) -> Sequence[Address]:
        """All nodes."""
        return self.addresses

    def same_site(self) -> Sequence[Address]:
        """All nodes."""
        return self.addresses


def print_services(
    number: int, record: ConfigurationRecord, configuration: Configuration
) -> None:
    """Prints the services that a node carries."""
    carried = ', '.join(configuration.carried_at('kgn-b'))
    print(f'node {number}: revision {record.revision}, carries {carried}')


def start_node(
    number: int, channels: Channels, peers: FixedPeers, store: ConsulStore
) -> ConfigurationNode:
    """Starts a node that prints each configuration in force."""
    transport = channels.channel(ChannelName.CONFIGURATION)
    peers.addresses.append(transport.address)
    node = ConfigurationNode(
        site='kgn-b',
        store=store,
        transport=transport,
        peers=peers,
        clock=SystemClock(),
        random=Random(number),
    )
    node.subscribe(partial(print_services, number))
    node.start()
    return node


def main() -> None:
    """Runs a store stand-in, three nodes and one change."""
    clock = SystemClock()
    server = StoreServer(listen=_LOCAL, clock=clock)
    server.start()
    peers = FixedPeers()
    keys = CurveKeyPair.generate()
    store = ConsulStore(url=server.url, clock=clock)
    node_channels = [
        Channels(
            transport=ZmqTransport(address=_LOCAL, keys=(keys,), clock=clock)
        )
        for _ in range(_NODES)
    ]
    nodes = [
        start_node(number, channels, peers, store)
        for number, channels in enumerate(node_channels, start=1)
    ]
    applier = Applier(
        store=store,
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
    for node, channels in zip(nodes, node_channels, strict=True):
        node.stop()
        channels.close()
    store.close()
    server.stop()


if __name__ == '__main__':
    main()
