"""Trace events of clients; see docs/traces.md."""

import itertools
from typing import Any

from anvilthread.clock import SystemClock
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.settings import Keys
from standins.client import Client

_CLOSE_REASONS = {
    'closed by client': 'client_closed',
    'stateless reset': 'reset',
    'Idle timeout': 'idle_timeout',
}


class LoadTrace:
    """Records connections and requests as clients observe them.

    A connection is recorded at the agent that its connection ID encodes.

    Args:
        keys: Keys of the cluster, which decrypt connection IDs.
    """

    def __init__(self, *, keys: Keys) -> None:
        ring = keys.connection_id
        self._codec = ConnectionIdCodec(keys=ring.keys, active=ring.active)
        self._clock = SystemClock()
        self._connection_numbers = itertools.count(1)
        self._connection_names: dict[Client, str] = {}
        self._agents: dict[Client, str] = {}
        self._started_ms: dict[str, int] = {}
        self.events: list[dict[str, Any]] = []

    def connection_opened(self, client: Client, service: str) -> None:
        """Records a completed handshake."""
        content = self._codec.decode(client.quic._peer_cid.cid)
        agent = 'unknown' if content is None else content.agent.host
        self._agents[client] = agent
        self._connection_names[client] = (
            f'{service}-{next(self._connection_numbers)}'
        )
        self._record(
            'connection_opened',
            agent,
            connection=self._connection_names[client],
            service=service,
        )

    def connection_closed(self, client: Client, service: str) -> None:
        """Records a connection that has ended."""
        reason = _CLOSE_REASONS.get(client.end_reason or '', 'server_closed')
        late_ms = 0
        if client.ended_ms is not None:
            late_ms = self._clock.now_ms() - client.ended_ms
        self._record(
            'connection_closed',
            self._agents.pop(client),
            late_ms,
            connection=self._connection_names.pop(client),
            service=service,
            reason=reason,
        )

    def request_started(
        self, client: Client, service: str, identifier: str
    ) -> None:
        """Records a request that must run at most once."""
        self._started_ms[identifier] = self._clock.now_ms()
        self._record(
            'request_started',
            self._agents[client],
            request=identifier,
            connection=self._connection_names[client],
            service=service,
            key=None,
            idempotent=False,
        )

    def request_ended(
        self, service: str, identifier: str, outcome: str, content: str | None
    ) -> None:
        """Records the outcome of a request as its client received it.

        Args:
            service: Name of the service.
            identifier: Request ID.
            outcome: Value of the outcome header.
            content: Request ID in a complete answer. It replaces the digest,
                because the ledgers of targets hold IDs and no content.
        """
        started_ms = self._started_ms.pop(identifier)
        self._record(
            'request_ended',
            'client',
            request=identifier,
            service=service,
            outcome=outcome.replace('-', '_'),
            latency_ms=self._clock.now_ms() - started_ms,
            digest=content,
        )

    def _record(
        self, kind: str, node: str, late_ms: int = 0, **fields: object
    ) -> None:
        ts_ms = self._clock.wall_ms() - late_ms
        self.events.append(
            {'kind': kind, 'ts_ms': ts_ms, 'node': node, **fields}
        )
