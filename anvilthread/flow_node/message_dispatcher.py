"""Passes datagrams from other nodes to the components that handle them."""

from anvilthread.decoding import DECODE_ERRORS
from anvilthread.flows.configuration_follower import ConfigurationFollower
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.message_codec import decode_message
from anvilthread.flows.messages import MessageHandlers
from anvilthread.flows.peer_messages import PeerMessages
from anvilthread.flows.roster import Roster
from anvilthread.telemetry.log import Log


class MessageDispatcher:
    """Decodes the messages of other nodes, and dispatches them by type.

    Args:
        roster: This node and its peers.
        introducer: Answers hellos.
        log: Receives malformed messages.
        counters: Counts malformed messages, and those for another role.
    """

    __slots__ = (
        '_counters',
        '_follower',
        '_handlers',
        '_log',
        '_peer_messages',
    )

    def __init__(
        self,
        *,
        roster: Roster,
        introducer: Introducer,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._log = log
        self._counters = counters
        self._peer_messages = PeerMessages(
            roster=roster,
            introducer=introducer,
            on_version=self._on_peer_version,
            log=log,
        )
        self._follower: ConfigurationFollower | None = None
        self._handlers: MessageHandlers = {}

    def connect(
        self, handlers: MessageHandlers, follower: ConfigurationFollower
    ) -> None:
        """Sets the receivers of the messages.

        Args:
            handlers: Handle the messages about flows.
            follower: Receives the versions of the configuration at peers.
        """
        self._handlers = handlers
        self._follower = follower

    def dispatch(self, content: bytes, host: str) -> None:
        """Handles a datagram from another node."""
        try:
            message = decode_message(content)
        except DECODE_ERRORS as error:
            self._counters.add('messages_malformed')
            self._log.event('message_malformed', sender=host, reason=str(error))
            return
        if self._peer_messages.handle(host, message):
            return
        handle = self._handlers.get(type(message))
        if handle is None:
            self._counters.add('messages_misdirected')
        else:
            handle(host, message)

    def _on_peer_version(
        self, host: str, version: int, check_age_ms: int
    ) -> None:
        if self._follower is not None:
            self._follower.on_version(host, version, check_age_ms)
