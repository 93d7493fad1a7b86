"""The network interface of one process for the flow components."""

from anvilthread.flow_node.datagram_socket import DatagramSocket
from anvilthread.flows.flow_key import FlowKey, client_host
from anvilthread.flows.message_codec import encode_message
from anvilthread.flows.messages import AnyMessage


class NodeNetwork:
    """Sends messages to nodes and packets to clients and to the target.

    Args:
        node_socket: Socket for messages between nodes.
        packet_socket: Socket from which packets are sent.
        node_port: UDP port of every other node.
        client_port: UDP port of every client.
        target: Host and port of the target; None for a balancer.
    """

    __slots__ = (
        '_client_port',
        '_node_port',
        '_node_socket',
        '_packet_socket',
        '_target',
    )

    def __init__(
        self,
        *,
        node_socket: DatagramSocket,
        packet_socket: DatagramSocket,
        node_port: int,
        client_port: int,
        target: tuple[str, int] | None,
    ) -> None:
        self._node_socket = node_socket
        self._packet_socket = packet_socket
        self._node_port = node_port
        self._client_port = client_port
        self._target = target

    def send_to_node(self, host: str, message: AnyMessage) -> None:
        """Sends a message to another node."""
        self._node_socket.send(encode_message(message), (host, self._node_port))

    def send_to_client(self, key: FlowKey, content: bytes) -> None:
        """Sends a packet to the client of a flow."""
        self._packet_socket.send(content, (client_host(key), self._client_port))

    def send_to_target(self, content: bytes) -> None:
        """Sends a packet to the local target."""
        if self._target is not None:
            self._packet_socket.send(content, self._target)
