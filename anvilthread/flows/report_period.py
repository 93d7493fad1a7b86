"""How often agents report their load."""

from typing import Final

#: Shortest time between two reports to a balancer: below the shortest aim of
#: a request (100 ms), and 100 reports per second from ten agents.
_TO_BALANCERS_MS: Final = 100

#: Time that each further agent adds, so that a node handles 125 reports per
#: second at most. A report costs some 0.1 ms of processor time to take, so
#: they are about 1.3% of a core, of which the smallest VM has 0.16.
_PER_AGENT_MS: Final = 8

#: Time between reports to the agents of the service, which need them only to
#: know each other: a search asks agents heard within 1.5 s.
_TO_AGENTS_MS: Final = 500

#: The same for each agent of the service, for 67 reports per second.
_PER_PEER_MS: Final = 15

#: Longest time between reports to agents, so that one in two may be lost.
_LONGEST_TO_AGENTS_MS: Final = 700


def balancer_period_ms(agents: int) -> int:
    """Returns the time between reports to balancers.

    Args:
        agents: Agents of all services that report to a balancer.
    """
    return max(_TO_BALANCERS_MS, _PER_AGENT_MS * agents)


def agent_period_ms(agents: int) -> int:
    """Returns the time between reports to the agents of the service.

    Args:
        agents: Agents of the service.
    """
    spread_ms = max(_TO_AGENTS_MS, _PER_PEER_MS * agents)
    return min(spread_ms, _LONGEST_TO_AGENTS_MS)
