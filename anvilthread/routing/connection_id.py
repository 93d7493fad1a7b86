"""Routing fields of a connection ID."""

from anvilthread.address import Address


class ConnectionId:
    """The fields that an agent encodes in a connection ID.

    Args:
        service: Number of the service, 0 to 65535.
        agent: Data address of the issuing agent.
        incarnation: Low 24 bits of the agent's incarnation.
        counter: Number of the connection ID within the incarnation, 24 bits.
    """

    __slots__ = ('_agent', '_counter', '_incarnation', '_service')

    def __init__(
        self,
        *,
        service: int,
        agent: Address,
        incarnation: int,
        counter: int,
    ) -> None:
        self._service = service
        self._agent = agent
        self._incarnation = incarnation
        self._counter = counter

    @property
    def service(self) -> int:
        """Number of the service."""
        return self._service

    @property
    def agent(self) -> Address:
        """Data address of the issuing agent."""
        return self._agent

    @property
    def incarnation(self) -> int:
        """Low 24 bits of the agent's incarnation."""
        return self._incarnation

    @property
    def counter(self) -> int:
        """Number of the connection ID within the incarnation."""
        return self._counter
