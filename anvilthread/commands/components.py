"""Components that the commands load from packages that are built separately.

Commands load them only through this module. Every function fails with
``ExitCode.UNAVAILABLE`` if its package is not part of the build.
"""

import importlib
import socket
from collections.abc import Callable
from typing import Any, Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.commands.command_failure import CommandFailure
from anvilthread.commands.configuration_gateway import ConfigurationGateway
from anvilthread.commands.exit_code import ExitCode
from anvilthread.error import AnvilthreadError
from anvilthread.settings import AgentSettings, BalancerSettings, Keys
from anvilthread.transport import Transport

_DISCARD_PORT: Final = 9


def run_balancer(settings: BalancerSettings) -> None:
    """Runs a balancer until it is stopped."""
    _load('anvilthread.balancer.balancer', 'run')(settings)


def run_agent(settings: AgentSettings) -> None:
    """Runs an agent until it is stopped."""
    _load('anvilthread.agent.agent', 'run')(settings)


def open_configuration(
    store: str, node_revision: Callable[[], int] = int
) -> ConfigurationGateway:
    """Opens the gateway to configuration files and the store.

    Args:
        store: URL of the store; empty for commands that only read files.
        node_revision: Returns the highest revision that nodes hold.
    """
    gateway: ConfigurationGateway = _load(
        'anvilthread.commands.store_gateway', 'StoreGateway'
    )(url=store, node_revision=node_revision)
    return gateway


def open_transport(
    *, keys: Keys, node: Address, bind: Address | None, clock: Clock
) -> Transport:
    """Opens a transport for operations on a node.

    Args:
        keys: Keys of the cluster.
        node: Request address of the node.
        bind: Address for the answers; by default the source IP of the route
            to the node, and a free port.
        clock: Clock of the transport.
    """
    package = 'anvilthread.transport'
    shared_transport = _load(package, 'ZmqTransport')(
        address=bind or _local_address(node),
        keys=keys.curve.ordered,
        clock=clock,
    )
    name = _load(package, 'ChannelName').OPERATOR
    channel: Transport = _load(package, 'Channels')(
        transport=shared_transport
    ).channel(name)
    return channel


def _load(module: str, name: str) -> Any:
    try:
        return getattr(importlib.import_module(module), name)
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
    except AttributeError:
        pass  # The module exists but does not define the name.
    raise CommandFailure(
        error=AnvilthreadError(
            reason=f'this build has no {module}.{name}',
            remedy='install a complete build of anvilthread',
        ),
        exit_code=ExitCode.UNAVAILABLE,
    )


def _local_address(node: Address) -> Address:
    # Connecting a UDP socket selects the source address and sends nothing.
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.connect((node.host, _DISCARD_PORT))
        host, _ = probe.getsockname()
    return Address(host=host, port=0)
