"""Outbound connection to one peer."""

from collections.abc import Callable
from typing import Any, Final

import gevent
from absl import logging
from zmq import green as zmq
from zmq.utils.monitor import recv_monitor_message

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.transport.curve_key_pair import CurveKeyPair

_REFUSAL_EVENTS: Final = (
    zmq.EVENT_HANDSHAKE_FAILED_AUTH
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
)
_MONITORED_EVENTS: Final = _REFUSAL_EVENTS | zmq.EVENT_HANDSHAKE_SUCCEEDED
_RECONNECT_MIN_MS: Final = 100
_RECONNECT_MAX_MS: Final = 5000


class ZmqPeer:
    """A DEALER socket that is closed after an idle timeout.

    During a key rotation the current key of the peer may differ, so the
    accepted keys are tried in turn; messages that are queued while a wrong
    key is tried are lost.

    Args:
        context: Context in which the socket is created.
        local_address: Address of this node, to which the peer answers.
        address: Address of the peer.
        keys: Accepted pairs, the current one first.
        clock: Clock of the idle timeout.
        idle_ms: Time without a sent message after which the socket is closed.
        queue_limit: Maximum number of messages queued for the connection.
        on_close: Called with the address before the socket is closed.
    """

    def __init__(
        self,
        *,
        context: 'zmq.Context[Any]',
        local_address: Address,
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
        self._last_send_ms = clock.now_ms()
        self._socket = context.socket(zmq.DEALER)
        self._configure(local_address, queue_limit)
        self._monitor = self._socket.get_monitor_socket(_MONITORED_EVENTS)
        self._connect()
        self._task = gevent.spawn(self._monitor_until_idle)

    def send(self, payload: bytes) -> bool:
        """Queues a message; returns False if the queue is full."""
        self._last_send_ms = self._clock.now_ms()
        try:
            self._socket.send(payload, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Stops the task and closes the sockets; queued messages are lost."""
        self._task.kill()
        self._close_sockets()

    def _configure(self, local_address: Address, queue_limit: int) -> None:
        current = self._keys[0]
        self._socket.setsockopt(zmq.ROUTING_ID, local_address.pack())
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.SNDHWM, queue_limit)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MIN_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        self._socket.setsockopt(zmq.CURVE_PUBLICKEY, current.public)
        self._socket.setsockopt(zmq.CURVE_SECRETKEY, current.secret)

    def _connect(self) -> None:
        pair = self._keys[self._refusals % len(self._keys)]
        self._socket.setsockopt(zmq.CURVE_SERVERKEY, pair.public)
        self._socket.connect(f'tcp://{self._address}')

    def _monitor_until_idle(self) -> None:
        remaining_ms = self._remaining_ms()
        while remaining_ms > 0:
            if self._monitor.poll(remaining_ms):
                self._handle_event(recv_monitor_message(self._monitor)['event'])
            remaining_ms = self._remaining_ms()
        self._on_close(self._address)
        self._close_sockets()

    def _handle_event(self, event: int) -> None:
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
        return self._last_send_ms + self._idle_ms - self._clock.now_ms()

    def _close_sockets(self) -> None:
        if not self._socket.closed:
            self._socket.disable_monitor()
            self._monitor.close(0)
            self._socket.close(0)
