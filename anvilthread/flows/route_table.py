"""The routes from service addresses to services."""

import zlib
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

from anvilthread.flows.flow_key import Endpoint, FlowKey, endpoint_of
from anvilthread.flows.service_limits import ServiceLimits
from anvilthread.flows.traffic_class import TrafficClass

_DEFAULT_LIMITS: Final = ServiceLimits()


class ServiceShare(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its share of the new flows of a route.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services; not negative.
    """

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """The services behind one address.

    Attributes:
        name: Name of the route, for logs.
        shares: Services for new flows; at least one.
        traffic: What the route requires of its requests.
    """

    name: str
    shares: tuple[ServiceShare, ...]
    traffic: TrafficClass = TrafficClass()

    def serves(self, service: str) -> bool:
        """Whether a service receives new flows of this route."""
        return any(
            share.service == service and share.weight > 0
            for share in self.shares
        )

    def choose(self, key: FlowKey) -> str:
        """Returns the service of a new flow.

        It depends only on the key, so a retransmitted opening packet gets the
        same service.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        remaining = zlib.crc32(key) % max(total, 1)
        for share in self.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return self.shares[0].service


class RouteTable:
    """One version of the configuration.

    Args:
        version: Number of the version; higher ones are newer.
        routes: Route of each address.
        idle_ms: Time after which an idle flow may be removed.
        document: The configuration as stored, for peers.
        services: Limits of each service that states any.
        ignored_fields: Names of optional values that could not be used.
    """

    __slots__ = (
        '_document',
        '_idle_ms',
        '_ignored_fields',
        '_prioritised',
        '_routes',
        '_services',
        '_version',
    )

    def __init__(
        self,
        *,
        version: int,
        routes: Mapping[Endpoint, Route],
        idle_ms: int,
        document: bytes,
        services: Mapping[str, ServiceLimits] | None = None,
        ignored_fields: tuple[str, ...] = (),
    ) -> None:
        self._version = version
        self._routes = dict(routes)
        self._idle_ms = idle_ms
        self._document = document
        self._ignored_fields = ignored_fields
        self._services = dict(services or {})
        self._prioritised = _prioritised_services(self._routes.values())

    @property
    def version(self) -> int:
        """Number of the version; 0 before any is known."""
        return self._version

    @property
    def idle_ms(self) -> int:
        """Time after which an idle flow may be removed."""
        return self._idle_ms

    @property
    def document(self) -> bytes:
        """The configuration as stored."""
        return self._document

    @property
    def ignored_fields(self) -> tuple[str, ...]:
        """Names of optional values that could not be used."""
        return self._ignored_fields

    def __len__(self) -> int:
        return len(self._routes)

    def limits_of(self, service: str) -> ServiceLimits:
        """Returns the limits of a service; defaults if it states none."""
        return self._services.get(service, _DEFAULT_LIMITS)

    def orders_by_priority(self, service: str) -> bool:
        """Whether the routes of a service differ in priority."""
        return service in self._prioritised

    def lowest_class_of(self, service: str) -> TrafficClass | None:
        """Returns the lowest class of a service that orders by priority.

        It is None for other services. If routes share the lowest priority, it
        is the class with the shortest objective.
        """
        return self._prioritised.get(service)

    def route_of(self, key: FlowKey) -> Route | None:
        """Returns the route of a flow; None if its address has no route."""
        return self._routes.get(endpoint_of(key))


def _prioritised_services(routes: Iterable[Route]) -> dict[str, TrafficClass]:
    """Returns the lowest class of each service whose routes differ in priority.

    Routes without an objective carry no traffic that competes for time, and do
    not count.
    """
    classes: dict[str, list[TrafficClass]] = {}
    for route in routes:
        if not route.traffic.objective_ms:
            continue
        for share in route.shares:
            classes.setdefault(share.service, []).append(route.traffic)
    return {
        service: min(known, key=_lowest_first)
        for service, known in classes.items()
        if len({traffic.priority for traffic in known}) > 1
    }


def _lowest_first(traffic: TrafficClass) -> tuple[int, int]:
    return -traffic.priority, traffic.objective_ms
