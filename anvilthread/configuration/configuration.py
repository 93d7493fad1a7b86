"""The operators' configuration as it is in force at one site."""

from msgspec import Struct, field

from anvilthread.address import Address
from anvilthread.configuration.limits import Limits
from anvilthread.configuration.field_types import Name
from anvilthread.configuration.service import Service
from anvilthread.configuration.site import Site


class Configuration(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """The base, merged with the overlay of one site.

    Attributes:
        sites: Sites by name.
        services: Services by name, including those of other sites.
        limits: Bounds that apply to every node.
    """

    sites: dict[Name, Site]
    services: dict[Name, Service]
    limits: Limits = field(default_factory=Limits)

    def carried_at(self, site: str) -> dict[str, Service]:
        """Returns the services that a site carries, by name."""
        return {
            name: service
            for name, service in self.services.items()
            if site in service.sites
        }

    def name_of(self, number: int) -> str | None:
        """Returns the name of the service with a number."""
        for name, service in self.services.items():
            if service.number == number:
                return name
        return None

    def number_at(self, address: Address) -> int | None:
        """Returns the number of the service at a service address."""
        for service in self.services.values():
            if address in service.addresses:
                return service.number
        return None
