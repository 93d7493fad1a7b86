"""A server-side QUIC connection with routable connection IDs."""

from collections.abc import Callable

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from anvilthread.agent.connection_id_issuer import ConnectionIdIssuer


class RoutableQuic(QuicConnection):
    """Replaces the random connection IDs of aioquic by routable ones.

    aioquic 1.7.2 has no public hook for the content of connection IDs, so
    this class rewrites the private attributes that hold them. The pinned
    version and ``tests/agent/test_routable_quic.py`` guard that assumption.

    Args:
        configuration: TLS and transport settings.
        original_destination_id: Connection ID that the client chose.
        issuer: Creates connection IDs.
        service: Number of the service of this connection.
        on_issued: Called with every connection ID before it is sent.
    """

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_destination_id: bytes,
        issuer: ConnectionIdIssuer,
        service: int,
        on_issued: Callable[[bytes], None],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_id,
        )
        self._issuer = issuer
        self._service = service
        self._on_issued = on_issued
        self._rewrite(first=0)
        self.host_cid = self._host_cids[0].cid
        self._local_initial_source_connection_id = self.host_cid

    def buffered_bytes(self, stream_id: int) -> int:
        """Bytes of a stream that the client has not yet acknowledged."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return 0
        return stream.sender._buffer_stop - stream.sender._buffer_start

    def _replenish_connection_ids(self) -> None:
        known = len(self._host_cids)
        super()._replenish_connection_ids()
        self._rewrite(first=known)

    def _rewrite(self, *, first: int) -> None:
        for entry in self._host_cids[first:]:
            entry.cid = self._issuer.issue(self._service)
            entry.stateless_reset_token = self._issuer.reset_token(entry.cid)
            self._on_issued(entry.cid)
