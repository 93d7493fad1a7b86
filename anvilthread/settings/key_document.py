"""The text form of every key of a cluster."""

from collections.abc import Iterator, Mapping
from typing import Final

from anvilthread.settings.curve_secrets import CurveSecrets
from anvilthread.settings.key_kind import KeyKind
from anvilthread.settings.key_ring import KeyRing
from anvilthread.settings.key_text import KeyText, new_key
from anvilthread.settings.keys import Keys

_HEADER: Final = (
    '# Keys of one Anvilthread cluster. Keep this file secret; every node has',
    '# the same one. Change it with `anvilthread key rotate`.',
)


class KeyDocument:
    """The content of a key file before its keys are decoded.

    Args:
        rings: The ring of each kind of key.
    """

    __slots__ = ('_rings',)

    def __init__(self, *, rings: Mapping[KeyKind, KeyRing[KeyText]]) -> None:
        self._rings = dict(rings)

    @classmethod
    def generate(cls) -> 'KeyDocument':
        """Draws one key of each kind."""
        return cls(
            rings={
                kind: KeyRing(keys={0: new_key(kind)}, active=0)
                for kind in KeyKind
            }
        )

    def ring(self, kind: KeyKind) -> KeyRing[KeyText]:
        """The keys of one kind."""
        return self._rings[kind]

    def replace(self, kind: KeyKind, ring: KeyRing[KeyText]) -> 'KeyDocument':
        """Returns a copy with other keys of one kind."""
        return KeyDocument(rings={**self._rings, kind: ring})

    def keys(self) -> Keys:
        """Decodes every key.

        Raises:
            ValueError: If a key is not in the form of its kind.
        """
        return Keys(
            connection_id=self._secrets(KeyKind.CONNECTION_ID),
            datagram=self._secrets(KeyKind.DATAGRAM),
            curve=KeyRing(
                keys={
                    number: secrets.pair()
                    for number, secrets in self.ring(KeyKind.CURVE).keys.items()
                    if isinstance(secrets, CurveSecrets)
                },
                active=self.ring(KeyKind.CURVE).active,
            ),
            execution=self._secrets(KeyKind.EXECUTION),
        )

    def render(self) -> str:
        """Writes the document as TOML."""
        lines = list(_HEADER)
        for kind, ring in self._rings.items():
            lines.extend(('', f'[{kind}]', f'active = {ring.active}'))
            lines.extend(_render_keys(kind, ring))
        return '\n'.join((*lines, ''))

    def _secrets(self, kind: KeyKind) -> KeyRing[bytes]:
        ring = self._rings[kind]
        secrets = {
            number: bytes.fromhex(str(text))
            for number, text in ring.keys.items()
        }
        return KeyRing(keys=secrets, active=ring.active)


def _render_keys(kind: KeyKind, ring: KeyRing[KeyText]) -> Iterator[str]:
    for number, key in sorted(ring.keys.items()):
        path = f'keys.{number}'
        if isinstance(key, CurveSecrets):
            yield f'{path}.server_secret = "{key.server_secret}"'
            yield f'{path}.client_secret = "{key.client_secret}"'
        else:
            yield f'{path} = "{key}"'
