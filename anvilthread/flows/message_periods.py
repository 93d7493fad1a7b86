"""The intervals at which nodes send reports and hellos."""

from typing import Final

#: Minimum time between two reports to a balancer. Not above the strictest
#: latency objective of requests (100 ms); ten agents send 100 reports per
#: second.
_MIN_BALANCER_PERIOD_MS: Final = 100

#: Minimum time between two reports to a balancer per agent, so that a node
#: receives at most 125 reports per second. A report takes some 0.1 ms of
#: processor time to handle, so they are about 1.3% of a core, of which the
#: smallest VM has 0.16.
_BALANCER_PERIOD_PER_AGENT_MS: Final = 8

#: Minimum time between two hellos of a balancer to a node, and between two
#: requests for the list of a peer.
_MIN_HELLO_PERIOD_MS: Final = 1000

#: Minimum time between two hellos per node, so that a node receives no more of
#: them as the fleet grows: 10 per second if a quarter are balancers.
_HELLO_PERIOD_PER_NODE_MS: Final = 25


def balancer_period_ms(agents: int) -> int:
    """Returns the time between reports to balancers in ms.

    Args:
        agents: Number of agents of all services that report to a balancer.
    """
    return max(_MIN_BALANCER_PERIOD_MS, _BALANCER_PERIOD_PER_AGENT_MS * agents)


def hello_period_ms(nodes: int) -> int:
    """Returns the time between hellos of a balancer to a node in ms.

    Args:
        nodes: Number of nodes of the cluster.
    """
    return max(_MIN_HELLO_PERIOD_MS, _HELLO_PERIOD_PER_NODE_MS * nodes)
