"""Messages between nodes."""

from anvilthread.transport.received import Received
from anvilthread.transport.transport import Transport

__all__ = ('Received', 'Transport')
