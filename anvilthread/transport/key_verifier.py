"""Authentication of CURVE clients by their public key."""

from contextlib import suppress
from typing import Any, Final

from absl import logging
from zmq import green as zmq
from zmq.auth.base import Authenticator

from anvilthread.transport.curve_key_pair import CurveKeyPair

_ENDPOINT: Final = 'inproc://zeromq.zap.01'
_DOMAIN: Final = 'anvilthread'

#: Number of refused keys that are stored, so that each is logged once.
_MAX_LOGGED_KEYS: Final = 64


class KeyVerifier:
    """Answers the ZAP requests of one context (ZeroMQ RFC 27).

    Args:
        context: Context of the sockets to protect.
        keys: Pairs whose public keys are accepted.
    """

    __slots__ = ('_accepted_keys', '_authenticator', '_logged_keys')

    #: ZAP domain that has to be set on protected sockets.
    domain: Final = _DOMAIN.encode()

    def __init__(
        self, *, context: 'zmq.Context[Any]', keys: tuple[CurveKeyPair, ...]
    ) -> None:
        self._accepted_keys = frozenset(pair.public for pair in keys)
        self._logged_keys: set[bytes] = set()
        self._authenticator = Authenticator(context)
        # start() of the library would create a socket that blocks the thread.
        self._authenticator.zap_socket = context.socket(zmq.REP)
        self._authenticator.zap_socket.bind(_ENDPOINT)
        self._authenticator.configure_curve_callback(
            domain=_DOMAIN, credentials_provider=self
        )

    def use_keys(self, keys: tuple[CurveKeyPair, ...]) -> None:
        """Replaces the accepted keys; open connections stay open."""
        self._accepted_keys = frozenset(pair.public for pair in keys)
        self._logged_keys.clear()

    def callback(self, domain: str, key: bytes) -> bool:
        """Returns whether a client's public key is accepted."""
        accepted = key in self._accepted_keys
        if not accepted and key not in self._logged_keys:
            if len(self._logged_keys) >= _MAX_LOGGED_KEYS:
                self._logged_keys.clear()
            self._logged_keys.add(key)
            logging.warning(
                'event=curve_client_refused client_key=%s '
                'reason="the key is not one of this cluster" '
                'remedy="give the connecting node the CURVE keys of this '
                'node in its settings"',
                key.decode(errors='replace'),
            )
        return accepted

    def run(self) -> None:
        """Answers ZAP requests until the task is killed."""
        while True:
            request = self._authenticator.zap_socket.recv_multipart()
            # The coroutine awaits nothing when the callback is synchronous.
            with suppress(StopIteration):
                self._authenticator.handle_zap_message(request).send(None)
