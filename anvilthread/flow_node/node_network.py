"""The network of one process as the flow components use it."""

from anvilthread.flow_node.datagram_port import DatagramPort
from anvilthread.flows.flow_key import FlowKey, client_host
from anvilthread.flows.message_codec import encode_message
from anvilthread.flows.messages import AnyMessage


class NodeNetwork:
    """Sends messages to nodes and packets to clients and to the target.

    Args:
        nodes: Port for messages between nodes.
        packets: Port from which packets are sent.
        node_port: Port of every other node.
        client_port: Port of every client.
        target: Host and port of the target; None for a balancer.
    """

    __slots__ = ('_client_port', '_node_port', '_nodes', '_packets', '_target')

    def __init__(
        self,
        *,
        nodes: DatagramPort,
        packets: DatagramPort,
        node_port: int,
        client_port: int,
        target: tuple[str, int] | None,
    ) -> None:
        self._nodes = nodes
        self._packets = packets
        self._node_port = node_port
        self._client_port = client_port
        self._target = target

    def send_node(self, host: str, message: AnyMessage) -> None:
        """Sends a message to another node."""
        self._nodes.send(encode_message(message), (host, self._node_port))

    def send_client(self, key: FlowKey, content: bytes) -> None:
        """Sends a packet to the client of a flow."""
        self._packets.send(content, (client_host(key), self._client_port))

    def send_target(self, content: bytes) -> None:
        """Sends a packet to the target beside this process."""
        if self._target is not None:
            self._packets.send(content, self._target)
