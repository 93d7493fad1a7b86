"""The plans of the two clusters of the demonstration."""

from typing import Final

import msgspec


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service of a cluster.

    Args:
        name: Name in the configuration.
        number: Number in connection IDs.
        port: Port of its service address.
    """

    name: str
    number: int
    port: int


class ClusterPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Names, addresses and size of one cluster.

    Args:
        name: Short name, used for files and processes.
        network: Second octet of its loopback addresses.
        sites: Names of its sites.
        pools: Services that share targets, with the number of targets.
        slots: Slots of each target.
    """

    name: str
    network: int
    sites: tuple[str, ...]
    pools: tuple[tuple[tuple[Service, ...], int], ...]
    slots: int

    @property
    def services(self) -> tuple[Service, ...]:
        """Services of all pools."""
        return tuple(service for pool, _ in self.pools for service in pool)

    def ip(self, kind: int, number: int) -> str:
        """Returns the loopback address of a process.

        Args:
            kind: 1 for balancers, 2 for agents, 3 for targets, 8 for the
                store and 9 for service addresses.
            number: Number of the process, 1 to 254.
        """
        return f'127.{self.network}.{kind}.{number}'

    def configuration(self) -> str:
        """Returns the text of ``base.toml``."""
        lines = [f'[sites.{site}]' for site in self.sites]
        sites = ', '.join(f'"{site}"' for site in self.sites)
        for service in self.services:
            address = f'{self.ip(9, 1)}:{service.port}'
            lines.extend(
                (
                    f'[services.{service.name}]',
                    f'number = {service.number}',
                    f'addresses = ["{address}"]',
                    f'sites = [{sites}]',
                    'stream_paths = ["/stream"]',
                )
            )
        return '\n'.join((*lines, ''))


ADJEI_MENSAH: Final = ClusterPlan(
    name='adjei-mensah',
    network=21,
    sites=('tema-plant', 'spintex-depot', 'kaneshie-office'),
    pools=(
        (
            (
                Service(name='bookings', number=1, port=4431),
                Service(name='dispatch', number=2, port=4432),
            ),
            7,
        ),
        ((Service(name='statements', number=3, port=4433),), 3),
    ),
    slots=2,
)

BLUE_MAHOE: Final = ClusterPlan(
    name='blue-mahoe',
    network=22,
    sites=('kgn-a', 'kgn-b', 'kgn-c'),
    pools=(
        ((Service(name='depot-feed', number=1, port=4431),), 7),
        ((Service(name='catalogue', number=2, port=4432),), 3),
    ),
    slots=1,
)

PLANS: Final = (ADJEI_MENSAH, BLUE_MAHOE)
