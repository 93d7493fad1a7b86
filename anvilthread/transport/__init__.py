"""Messages between nodes."""

from anvilthread.transport.channel import Channel
from anvilthread.transport.channel_name import ChannelName
from anvilthread.transport.channels import Channels
from anvilthread.transport.curve_key_pair import CurveKeyError, CurveKeyPair
from anvilthread.transport.datagram_authenticator import DatagramKeyError
from anvilthread.transport.received import Received
from anvilthread.transport.transport import Transport
from anvilthread.transport.udp_transport import UdpTransport
from anvilthread.transport.zmq_transport import (
    MAX_MESSAGE_SIZE,
    TransportBindError,
    ZmqTransport,
)

__all__ = (
    'MAX_MESSAGE_SIZE',
    'Channel',
    'ChannelName',
    'Channels',
    'CurveKeyError',
    'CurveKeyPair',
    'DatagramKeyError',
    'Received',
    'Transport',
    'TransportBindError',
    'UdpTransport',
    'ZmqTransport',
)
