"""The order of agents as candidates for a flow."""

import zlib
from collections.abc import Iterable

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.known_node import KnownNode
from anvilthread.routing.rendezvous import score


def rank_agents(key: FlowKey, agents: Iterable[KnownNode]) -> list[KnownNode]:
    """Orders agents by rendezvous hashing of the key of a flow.

    Nodes that know the same agents get the same order. An agent that is added
    or removed moves each of the others by one place at most, so the agent that
    holds a flow stays near the front.

    Args:
        key: The flow.
        agents: Agents of one service.
    """
    key_hash = zlib.crc32(key)
    return sorted(
        agents,
        key=lambda node: score(key_hash, node.host_hash),
        reverse=True,
    )
