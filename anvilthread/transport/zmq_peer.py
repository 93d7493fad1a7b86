"""The sending end of a connection to one peer."""

from collections.abc import Callable
from typing import Any, Final

import gevent
from absl import logging
from zmq import green as zmq
from zmq.utils.monitor import recv_monitor_message

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.transport.curve_key_pair import CurveKeyPair

_REFUSALS: Final = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
)
_EVENTS: Final = _REFUSALS | zmq.EVENT_HANDSHAKE_SUCCEEDED
_RECONNECT_MS: Final = 100
_RECONNECT_MAX_MS: Final = 5000


class ZmqPeer:
    """A DEALER socket that is closed when it has been idle.

    During a rotation of keys the peer may still hold another current key, so
    the accepted keys are tried in turn; messages queued while a wrong key was
    tried are lost.

    Args:
        context: Context that makes the socket.
        own: Address that the peer answers to.
        address: Address of the peer.
        keys: Accepted pairs, the current one first.
        clock: Clock of the idle time.
        idle_ms: Time without a message after which the socket is closed.
        queue_limit: Most messages that wait for the connection.
        on_close: Called with the address before the socket is closed.
    """

    def __init__(
        self,
        *,
        context: 'zmq.Context[Any]',
        own: Address,
        address: Address,
        keys: tuple[CurveKeyPair, ...],
        clock: Clock,
        idle_ms: int,
        queue_limit: int,
        on_close: Callable[[Address], None],
    ) -> None:
        self._address = address
        self._keys = keys
        self._clock = clock
        self._idle_ms = idle_ms
        self._on_close = on_close
        self._refusals = 0
        self._used_ms = clock.now_ms()
        self._socket = context.socket(zmq.DEALER)
        self._configure(own, queue_limit)
        self._monitor = self._socket.get_monitor_socket(_EVENTS)
        self._connect()
        self._task = gevent.spawn(self._run)

    def send(self, payload: bytes) -> bool:
        """Queues a message; returns False if the queue is full."""
        self._used_ms = self._clock.now_ms()
        try:
            self._socket.send(payload, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Ends the task and closes the sockets; queued messages are lost."""
        self._task.kill()
        self._release()

    def _configure(self, own: Address, queue_limit: int) -> None:
        current = self._keys[0]
        self._socket.setsockopt(zmq.ROUTING_ID, own.pack())
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, queue_limit)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        self._socket.setsockopt(zmq.CURVE_PUBLICKEY, current.public)
        self._socket.setsockopt(zmq.CURVE_SECRETKEY, current.secret)

    def _connect(self) -> None:
        pair = self._keys[self._refusals % len(self._keys)]
        self._socket.setsockopt(zmq.CURVE_SERVERKEY, pair.public)
        self._socket.connect(f'tcp://{self._address}')

    def _run(self) -> None:
        remaining_ms = self._remaining_ms()
        while remaining_ms > 0:
            if self._monitor.poll(remaining_ms):
                self._observe(recv_monitor_message(self._monitor)['event'])
            remaining_ms = self._remaining_ms()
        self._on_close(self._address)
        self._release()

    def _observe(self, event: int) -> None:
        if event == zmq.EVENT_HANDSHAKE_SUCCEEDED:
            self._refusals = 0
        else:
            self._try_next_key()

    def _try_next_key(self) -> None:
        self._refusals += 1
        if self._refusals == len(self._keys):
            logging.warning(
                'event=curve_connection_refused peer=%s '
                'reason="the peer ended the handshake, most likely because '
                'it holds other CURVE keys" '
                'remedy="give both nodes the same CURVE keys in their '
                'settings"',
                self._address,
            )
        if len(self._keys) > 1:
            self._socket.disconnect(f'tcp://{self._address}')
            self._connect()

    def _remaining_ms(self) -> int:
        return self._used_ms + self._idle_ms - self._clock.now_ms()

    def _release(self) -> None:
        if not self._socket.closed:
            self._socket.disable_monitor()
            self._monitor.close(0)
            self._socket.close(0)
