"""Decides which CURVE clients may connect."""

from contextlib import suppress
from typing import Any, Final

from absl import logging
from zmq import green as zmq
from zmq.auth.base import Authenticator

from anvilthread.transport.curve_key_pair import CurveKeyPair

_ENDPOINT: Final = 'inproc://zeromq.zap.01'
_DOMAIN: Final = 'anvilthread'

#: Refused keys that are remembered, so that each is logged once.
_MAX_LOGGED: Final = 64


class KeyVerifier:
    """Answers the ZAP requests of one context (ZeroMQ RFC 27).

    Args:
        context: Context of the sockets to protect.
        keys: Pairs whose public keys are accepted.
    """

    __slots__ = ('_accepted', '_authenticator', '_logged')

    #: ZAP domain that protected sockets have to be set to.
    domain: Final = _DOMAIN.encode()

    def __init__(
        self, *, context: 'zmq.Context[Any]', keys: tuple[CurveKeyPair, ...]
    ) -> None:
        self._accepted = frozenset(pair.public for pair in keys)
        self._logged: set[bytes] = set()
        self._authenticator = Authenticator(context)
        # The library's start() would make a socket that blocks the thread.
        self._authenticator.zap_socket = context.socket(zmq.REP)
        self._authenticator.zap_socket.bind(_ENDPOINT)
        self._authenticator.configure_curve_callback(
            domain=_DOMAIN, credentials_provider=self
        )

    def use_keys(self, keys: tuple[CurveKeyPair, ...]) -> None:
        """Replaces the accepted keys; open connections stay open."""
        self._accepted = frozenset(pair.public for pair in keys)
        self._logged.clear()

    def callback(self, domain: str, key: bytes) -> bool:
        """Tells whether a client's public key is accepted."""
        accepted = key in self._accepted
        if not accepted and key not in self._logged:
            if len(self._logged) >= _MAX_LOGGED:
                self._logged.clear()
            self._logged.add(key)
            logging.warning(
                'event=curve_client_refused client_key=%s '
                'reason="the key is not one of this cluster" '
                'remedy="give the connecting node the CURVE keys of this '
                'node in its settings"',
                key.decode(errors='replace'),
            )
        return accepted

    def run(self) -> None:
        """Answers requests until the task is killed."""
        while True:
            request = self._authenticator.zap_socket.recv_multipart()
            # The coroutine awaits nothing when the callback is synchronous.
            with suppress(StopIteration):
                self._authenticator.handle_zap_message(request).send(None)
