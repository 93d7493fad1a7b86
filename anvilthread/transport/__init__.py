"""Messages between nodes."""

from anvilthread.transport.keyed_tag import DatagramKeyError
from anvilthread.transport.received import Received
from anvilthread.transport.transport import Transport
from anvilthread.transport.udp_transport import UdpTransport

__all__ = ('DatagramKeyError', 'Received', 'Transport', 'UdpTransport')
