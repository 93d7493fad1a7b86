"""Encrypted messages between nodes over ZeroMQ."""

from typing import Final

import gevent
from absl import logging
from gevent.queue import Queue
from zmq import green as zmq

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.error import AnvilthreadError
from anvilthread.transport.curve_key_pair import CurveKeyError, CurveKeyPair
from anvilthread.transport.key_verifier import KeyVerifier
from anvilthread.transport.received import Received
from anvilthread.transport.zmq_peer import ZmqPeer

#: Largest message in bytes; a configuration value of 1 MB has to fit.
MAX_MESSAGE_SIZE: Final = 4 * 1024 * 1024

_IDLE_TIMEOUT_MS: Final = 30_000
_QUEUE_LIMIT_MESSAGES: Final = 256
_MAX_PEERS: Final = 512
#: Each peer uses a DEALER and the two sockets of its monitor.
_MAX_SOCKETS: Final = 4 * _MAX_PEERS

_BIND_ATTEMPTS: Final = 100
_BIND_RETRY_MS: Final = 10


class TransportBindError(AnvilthreadError):
    """The address of the node cannot be bound."""


class ZmqTransport:
    """Receives on one ROUTER and sends on one DEALER per peer.

    The routing ID of a DEALER is the packed address of its node, to which the
    receiver sends its answers.

    Args:
        address: Address to bind; port 0 selects a free port.
        keys: CURVE pairs of the cluster, the current one first. The others
            are accepted during a key rotation.
        clock: Clock of the idle timeouts.
        idle_ms: Time without a sent message after which the connection to a
            peer is closed.
        queue_limit: Maximum number of messages in each queue.

    Raises:
        CurveKeyError: If there is no key pair.
        TransportBindError: If the address cannot be bound.
    """

    def __init__(
        self,
        *,
        address: Address,
        keys: tuple[CurveKeyPair, ...],
        clock: Clock,
        idle_ms: int = _IDLE_TIMEOUT_MS,
        queue_limit: int = _QUEUE_LIMIT_MESSAGES,
    ) -> None:
        _check_keys(keys)
        self._keys = keys
        self._clock = clock
        self._idle_ms = idle_ms
        self._queue_limit = queue_limit
        self._inbox: Queue[Received] = Queue(maxsize=queue_limit)
        # Ordered from the least to the most recently used.
        self._peers: dict[Address, ZmqPeer] = {}
        self._lost_count = 0
        self._malformed_count = 0
        self._context = zmq.Context()
        self._context.max_sockets = _MAX_SOCKETS
        self._verifier = KeyVerifier(context=self._context, keys=keys)
        self._router = self._context.socket(zmq.ROUTER)
        self._configure_router()
        self._address = self._bind(address)
        self._tasks = [
            gevent.spawn(self._verifier.run),
            gevent.spawn(self._receive_all),
        ]

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._address

    @property
    def peer_count(self) -> int:
        """Number of open connections to peers."""
        return len(self._peers)

    @property
    def lost_count(self) -> int:
        """Number of messages dropped because a queue was full."""
        return self._lost_count

    @property
    def malformed_count(self) -> int:
        """Number of messages dropped because they were malformed."""
        return self._malformed_count

    def use_keys(self, keys: tuple[CurveKeyPair, ...]) -> None:
        """Replaces the key pairs, the current one first.

        Connections to peers are opened again with the new keys. Messages that
        are queued for a connection are lost, as any message may be.

        Raises:
            CurveKeyError: If there is no key pair.
            TransportBindError: If another process has bound the address.
        """
        _check_keys(keys)
        self._keys = keys
        self._verifier.use_keys(keys)
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        # A listening socket keeps the key that it was bound with, so it is
        # bound again; accepted connections stay open.
        self._router.unbind(endpoint)
        self._set_router_keys()
        self._rebind(endpoint)
        for peer in list(self._peers.values()):
            peer.close()
        self._peers.clear()

    def send(self, address: Address, payload: bytes) -> None:
        """Sends without blocking; a message that cannot be sent is lost."""
        if len(payload) > MAX_MESSAGE_SIZE:
            self._lost_count += 1
            return
        peer = self._peers.pop(address, None) or self._open_peer(address)
        self._peers[address] = peer
        if not peer.send(payload):
            self._lost_count += 1

    def receive(self) -> Received:
        """Blocks the calling task until a message arrives."""
        return self._inbox.get()

    def close(self) -> None:
        """Releases the sockets; tasks blocked in receive do not resume."""
        gevent.killall(self._tasks)
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()
        self._context.destroy(linger=0)

    def _configure_router(self) -> None:
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.RCVHWM, self._queue_limit)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_SIZE)
        # A restarted peer connects with the routing ID of its previous
        # connection, which is then replaced.
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.CURVE_SERVER, 1)
        self._router.setsockopt(zmq.ZAP_DOMAIN, KeyVerifier.domain)
        self._set_router_keys()

    def _set_router_keys(self) -> None:
        current = self._keys[0]
        self._router.setsockopt(zmq.CURVE_PUBLICKEY, current.public)
        self._router.setsockopt(zmq.CURVE_SECRETKEY, current.secret)

    def _bind(self, address: Address) -> Address:
        try:
            self._router.bind(f'tcp://{address}')
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            raise TransportBindError(
                reason=f'cannot bind {address}: {error}',
                remedy='choose a free request address of this VM',
            ) from error
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        port = int(endpoint.rpartition(':')[2])
        return Address(host=address.host, port=port)

    def _rebind(self, endpoint: str) -> None:
        # The library closes the listening socket in a background thread, so the
        # address may still be in use.
        for _ in range(_BIND_ATTEMPTS):
            try:
                self._router.bind(endpoint)
            except zmq.ZMQError:
                self._clock.sleep_ms(_BIND_RETRY_MS)
            else:
                return
        raise TransportBindError(
            reason=f'cannot bind {endpoint} again',
            remedy='restart this node; another process may use its address',
        )

    def _open_peer(self, address: Address) -> ZmqPeer:
        if len(self._peers) >= _MAX_PEERS:
            least_recent = next(iter(self._peers))
            self._peers.pop(least_recent).close()
        return ZmqPeer(
            context=self._context,
            local_address=self._address,
            address=address,
            keys=self._keys,
            clock=self._clock,
            idle_ms=self._idle_ms,
            queue_limit=self._queue_limit,
            on_close=self._remove_peer,
        )

    def _remove_peer(self, address: Address) -> None:
        self._peers.pop(address, None)

    def _receive_all(self) -> None:
        while True:
            received = _decode(self._router.recv_multipart())
            if received is None:
                self._malformed_count += 1
                logging.log_first_n(
                    logging.WARNING,
                    'event=malformed_message address=%s '
                    'reason="the frames are not a sender address and one payload" '
                    'remedy="run the same version on every node"',
                    1,
                    self._address,
                )
            else:
                self._inbox.put(received)


def _check_keys(keys: tuple[CurveKeyPair, ...]) -> None:
    if not keys:
        raise CurveKeyError(
            reason='there is no CURVE key pair',
            remedy='give every node the same pair in its settings',
        )


def _decode(frames: list[bytes]) -> Received | None:
    sender, *body = frames
    if len(sender) != Address.packed_size or len(body) != 1:
        return None
    return Received(sender=Address.unpack(sender), payload=body[0])
