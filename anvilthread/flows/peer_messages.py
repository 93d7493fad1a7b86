"""Handling of messages about nodes, and of versions in other messages."""

from collections.abc import Callable
from typing import Final

from anvilthread.flows.introducer import Introducer
from anvilthread.flows.messages import AnyMessage
from anvilthread.flows.node_messages import Hello, Leaving, LoadReport, Peers
from anvilthread.flows.packet_messages import Place, Refused
from anvilthread.flows.roster import Roster
from anvilthread.telemetry.log import Log

#: Receives the host of a peer, the version in force there, and the age of its
#: last check in ms; -1 if the message does not contain it.
VersionListener = Callable[[str, int, int], None]

_UNKNOWN_AGE_MS: Final = -1


class PeerMessages:
    """Dispatches messages about nodes, and reports the versions of senders.

    Args:
        roster: This node and its peers.
        introducer: Answers hellos.
        on_version: Called with the version of each sender.
        log: Receives nodes that announce that they stop.
    """

    __slots__ = ('_introducer', '_log', '_on_version', '_roster')

    def __init__(
        self,
        *,
        roster: Roster,
        introducer: Introducer,
        on_version: VersionListener,
        log: Log,
    ) -> None:
        self._roster = roster
        self._introducer = introducer
        self._on_version = on_version
        self._log = log

    def handle(self, host: str, message: AnyMessage) -> bool:
        """Handles a message about nodes; returns whether it was one."""
        if isinstance(message, Leaving):
            self._leave(host, message)
            return True
        if isinstance(message, Place | Refused):
            self._on_version(host, message.version, _UNKNOWN_AGE_MS)
            return False
        if isinstance(message, LoadReport):
            self._roster.record_report(message)
        elif isinstance(message, Hello):
            self._introducer.on_hello(host, message)
        elif isinstance(message, Peers):
            self._introducer.on_peers(message)
        else:
            return False
        self._on_version(host, message.version, message.check_age_ms)
        return True

    def _leave(self, host: str, message: Leaving) -> None:
        node = self._roster.record_sender(message.node)
        if node is not None:
            node.leave(returns=message.returns)
            self._log.event('node_leaving', host=host)
