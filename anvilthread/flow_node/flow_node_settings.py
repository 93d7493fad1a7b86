"""Settings of a process that balances flows."""

import msgspec

from anvilthread.flows.node_record import NodeRole


class FlowNodeSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that a process reads at its start.

    Attributes:
        name: Name for logs.
        role: Balancer or agent.
        host: IPv4 address of this process.
        site: Site of this process.
        service: Service of an agent's target; empty for a balancer.
        node_port: UDP and TCP port of all nodes for messages between nodes.
        contacts: Hosts at which other nodes may be found.
        client_port: UDP port at which balancers and clients receive packets.
        data_address: Host and port at which a balancer receives packets of
            clients; None for an agent.
        target_address: Host and port of the target; None for a balancer.
        outbound_address: Host and port at which an agent receives packets of
            its target; None for a balancer.
        heartbeat_ms: Time between heartbeats of a target.
        stop_ms: Time from SIGTERM after which the process is killed.
        evacuation_ms: Time within which an evacuated site gets no new flow;
            None if sites are not evacuated.
        warmup_overage: Factor on the rate that a cold target bears.
        warmup_slack: Requests that a cold target bears above that, in any
            second.
    """

    name: str
    role: NodeRole
    host: str
    site: str
    service: str
    node_port: int
    contacts: tuple[str, ...]
    client_port: int
    data_address: tuple[str, int] | None = None
    target_address: tuple[str, int] | None = None
    outbound_address: tuple[str, int] | None = None
    heartbeat_ms: int
    stop_ms: int
    evacuation_ms: int | None = None
    warmup_overage: float = 1
    warmup_slack: float = 0
