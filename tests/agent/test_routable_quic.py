"""Connection IDs of the agent's QUIC connections."""

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from tests.path.local_path import CODEC, LocalPath


def test_every_connection_id_is_routable() -> None:
    """Guards against an aioquic release that sends random connection IDs."""
    path = LocalPath()
    agent = path.add_agent('127.0.2.1', incarnation=5)
    path.add_balancer('127.0.1.1', [agent])
    client = path.open_client()
    client.fetch('GET', '/')
    quic: QuicConnection = client.quic
    known = [quic._peer_cid, *quic._peer_cid_available]
    path.close()
    assert len(known) > 1
    for entry in known:
        content = CODEC.decode(entry.cid)
        assert content is not None
        assert (content.agent, content.incarnation) == (agent, 5)
        assert entry.stateless_reset_token == CODEC.reset_token(entry.cid)


def test_library_still_makes_its_own_connection_ids() -> None:
    """Guards against an aioquic whose private attributes have changed.

    A public hook for connection IDs, for example, would replace the subclass.
    """
    plain = QuicConnection(configuration=QuicConfiguration())
    assert len(plain._host_cids) == 1
    assert plain.host_cid == plain._host_cids[0].cid
    assert plain._local_initial_source_connection_id == plain.host_cid
