"""Queries the status of a node and drains it, over any transport."""

from random import Random

import gevent

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.operation import OperationClient, OperationServer
from anvilthread.telemetry.memory_log import MemoryLog
from standins.memory_network import MemoryNetwork
from standins.node_with_operations import NodeWithOperations

NODE = Address(host='10.1.0.21', port=7947)
OPERATOR = Address(host='10.1.0.99', port=7947)


def main() -> None:
    """Runs a node and an operator in one process."""
    clock = SystemClock()
    network = MemoryNetwork(clock=clock, random=Random(1))
    log = MemoryLog()
    server = OperationServer(
        transport=network.transport(NODE),
        operations=NodeWithOperations(),
        log=log,
    )
    server_task = gevent.spawn(server.serve)
    client = OperationClient(
        transport=network.transport(OPERATOR), clock=clock, random=Random(2)
    )
    print(client.status(NODE).unwrap().state)
    print(client.drain(NODE, operator='ama').unwrap().state)
    print(client.undrain(NODE, operator='ama').unwrap_err())
    print([entry.name for entry in log.entries])
    client.close()
    server_task.kill()


if __name__ == '__main__':
    main()
