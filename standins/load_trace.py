"""Trace events of clients; see docs/traces.md."""

import itertools
from typing import Any

from anvilthread.clock import SystemClock
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.settings import Keys
from standins.client import Client

_REASONS = {
    'closed by client': 'client_closed',
    'stateless reset': 'reset',
    'Idle timeout': 'idle_timeout',
}


class LoadTrace:
    """Records what clients saw.

    A connection is recorded under the agent that its connection ID names.

    Args:
        keys: Keys of the cluster, which decrypt connection IDs.
    """

    def __init__(self, *, keys: Keys) -> None:
        ring = keys.connection_id
        self._codec = ConnectionIdCodec(keys=ring.keys, active=ring.active)
        self._clock = SystemClock()
        self._numbers = itertools.count(1)
        self._names: dict[Client, str] = {}
        self._agents: dict[Client, str] = {}
        self._started_ms: dict[str, int] = {}
        self.events: list[dict[str, Any]] = []

    def opened(self, client: Client, service: str) -> None:
        """Records a handshake that has ended."""
        content = self._codec.decode(client.quic._peer_cid.cid)
        agent = 'unknown' if content is None else content.agent.host
        self._agents[client] = agent
        self._names[client] = f'{service}-{next(self._numbers)}'
        self._add(
            'connection_opened',
            agent,
            connection=self._names[client],
            service=service,
        )

    def closed(self, client: Client, service: str) -> None:
        """Records a connection that has ended."""
        reason = _REASONS.get(client.end_reason or '', 'server_closed')
        late_ms = 0
        if client.ended_ms is not None:
            late_ms = self._clock.now_ms() - client.ended_ms
        self._add(
            'connection_closed',
            self._agents.pop(client),
            late_ms,
            connection=self._names.pop(client),
            service=service,
            reason=reason,
        )

    def started(self, client: Client, service: str, identifier: str) -> None:
        """Records a request that must run at most once."""
        self._started_ms[identifier] = self._clock.now_ms()
        self._add(
            'request_started',
            self._agents[client],
            request=identifier,
            connection=self._names[client],
            service=service,
            key=None,
            idempotent=False,
        )

    def ended(
        self, service: str, identifier: str, outcome: str, content: str | None
    ) -> None:
        """Records the outcome that the client was told.

        Args:
            service: Name of the service.
            identifier: Request ID.
            outcome: Value of the outcome header.
            content: Request ID in a whole answer. It stands for the digest,
                because the ledgers of targets hold IDs and no content.
        """
        started_ms = self._started_ms.pop(identifier)
        self._add(
            'request_ended',
            'client',
            request=identifier,
            service=service,
            outcome=outcome.replace('-', '_'),
            latency_ms=self._clock.now_ms() - started_ms,
            digest=content,
        )

    def _add(
        self, kind: str, node: str, late_ms: int = 0, **fields: object
    ) -> None:
        ts_ms = self._clock.wall_ms() - late_ms
        self.events.append(
            {'kind': kind, 'ts_ms': ts_ms, 'node': node, **fields}
        )
