"""What a node learns from messages about the nodes themselves."""

from collections.abc import Callable
from typing import Final

from anvilthread.flows.introducer import Introducer
from anvilthread.flows.messages import AnyMessage
from anvilthread.flows.node_messages import Hello, Leaving, LoadReport, Peers
from anvilthread.flows.packet_messages import Place, Refused
from anvilthread.flows.roster import Roster
from anvilthread.telemetry.log import Log

#: Takes the host of a peer, the version that it has, and the age of that
#: version's last check in ms; -1 if the message does not say.
VersionListener = Callable[[str, int, int], None]

_UNKNOWN: Final = -1


class PeerMessages:
    """Takes messages about nodes, and the versions that ride on others.

    Args:
        roster: The nodes known.
        introducer: Answers greetings.
        on_version: Called with the version of each sender.
        log: Receives nodes that leave.
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

    def take(self, host: str, message: AnyMessage) -> bool:
        """Handles a message about nodes; returns whether it was one."""
        if isinstance(message, Leaving):
            self._leave(host, message)
            return True
        if isinstance(message, Place | Refused):
            self._on_version(host, message.version, _UNKNOWN)
            return False
        if isinstance(message, LoadReport):
            self._roster.take_report(message)
        elif isinstance(message, Hello):
            self._introducer.on_hello(host, message)
        elif isinstance(message, Peers):
            self._introducer.on_peers(message)
        else:
            return False
        self._on_version(host, message.version, message.checked_ms)
        return True

    def _leave(self, host: str, message: Leaving) -> None:
        node = self._roster.hear(message.node)
        if node is not None:
            node.leave(returns=message.returns)
            self._log.event('node_leaving', host=host)
