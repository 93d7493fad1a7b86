"""How often agents report their load."""

from typing import Final

#: Shortest time between two reports to a balancer: below the shortest aim of
#: a request (100 ms), and 100 reports per second from ten agents.
_TO_BALANCERS_MS: Final = 100

#: Time that each further agent adds, so that a node handles 250 reports per
#: second at most: about 2% of the smallest VM of today (0.16 of a core).
_PER_AGENT_MS: Final = 4


def balancer_period_ms(agents: int) -> int:
    """Returns the time between reports to balancers.

    Args:
        agents: Agents of all services that report to a balancer.
    """
    return max(_TO_BALANCERS_MS, _PER_AGENT_MS * agents)
