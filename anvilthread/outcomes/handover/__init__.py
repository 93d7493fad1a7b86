"""Handover of requests between agents."""

from anvilthread.outcomes.handover.handover_client import HandoverClient
from anvilthread.outcomes.handover.handover_server import HandoverServer
from anvilthread.outcomes.handover.handover_settings import HandoverSettings
from anvilthread.outcomes.handover.node import Node
from anvilthread.outcomes.handover.peer import Peer
from anvilthread.outcomes.handover.peers import Peers

__all__ = (
    'HandoverClient',
    'HandoverServer',
    'HandoverSettings',
    'Node',
    'Peer',
    'Peers',
)
