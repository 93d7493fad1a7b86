"""Three members on loopback: one drains, one is killed.

Run with ``python -m examples.membership``; it takes about three seconds.
"""

from random import Random
from typing import Final

from absl import logging

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.membership import (
    Member,
    MemberChange,
    MembershipNode,
    MembershipSettings,
    Role,
)
from anvilthread.transport import UdpTransport

_LOCAL: Final = Address(host='127.0.0.1', port=0)
_KEYS: Final = (b'an example key of the cluster',)
_SERVICE: Final = 1
_SETTLE_MS: Final = 500
_DETECTION_MS: Final = 2000


def _start(role: Role, seeds: tuple[Address, ...]) -> MembershipNode:
    transport = UdpTransport(address=_LOCAL, keys=_KEYS)
    control = transport.address
    member = Member(
        control_address=control,
        role=role,
        site='example-site',
        data_address=Address(host=control.host, port=control.port + 1),
        request_address=Address(host=control.host, port=control.port + 2),
        services=(_SERVICE,) if role == Role.AGENT else (),
        slots=2,
    )
    node = MembershipNode(
        clock=SystemClock(),
        random=Random(),
        transport=transport,
        member=member,
        seeds=seeds,
        settings=MembershipSettings(),
    )
    node.start()
    return node


def _print_change(change: MemberChange) -> None:
    member = change.after
    if member is not None:
        print(member.control_address, member.role.name, member.state.name)


def main() -> None:
    """Prints the view of a balancer as one agent drains and one is killed."""
    logging.set_verbosity(logging.WARNING)
    clock = SystemClock()
    balancer = _start(Role.BALANCER, ())
    balancer.table.subscribe(_print_change)
    seeds = (balancer.member.control_address,)
    draining, killed = (_start(Role.AGENT, seeds) for _ in range(2))
    clock.sleep_ms(_SETTLE_MS)
    print('agents:', len(balancer.table.live_agents(_SERVICE)))

    draining.announce_draining()
    clock.sleep_ms(_SETTLE_MS)
    print('agents after the drain:', len(balancer.table.live_agents(_SERVICE)))

    killed.stop()
    clock.sleep_ms(_DETECTION_MS)
    print('agents after the kill:', len(balancer.table.live_agents(_SERVICE)))
    print('site in contact:', balancer.site_in_contact('example-site'))
    for node in (balancer, draining):
        node.stop()


if __name__ == '__main__':
    main()
