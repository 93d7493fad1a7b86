"""An agent that may receive new connections of a service."""

from collections.abc import Iterable

import msgspec

from anvilthread.address import Address


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """One agent of a service as listed by membership.

    Args:
        agent: Data address of the agent.
        incarnation: Incarnation of the agent.
        weight: Share of the load relative to other candidates, for example
            the number of slots; 0 if it accepts no new connections.
        site: Site of the agent.
        cold: Whether the target is in its slow start according to membership.
            A load report overrides this value.
        draining: Whether the agent refuses new connections.
    """

    agent: Address
    incarnation: int = 0
    weight: float = 1
    site: str = ''
    cold: bool = False
    draining: bool = False


def eligible_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Returns the candidates that accept new connections.

    A weight of 0 or less marks a target without slots.
    """
    return [
        candidate
        for candidate in candidates
        if candidate.weight > 0 and not candidate.draining
    ]
