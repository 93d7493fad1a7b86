"""All keys of a cluster in their text format."""

from collections.abc import Callable, Mapping
from typing import Final, TypeVar

from anvilthread.settings.key_kind import KeyKind
from anvilthread.settings.key_ring import KeyRing
from anvilthread.settings.key_text import new_key
from anvilthread.settings.keys import Keys
from anvilthread.transport.curve_key_pair import CurveKeyPair

DecodedT = TypeVar('DecodedT')

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

    def __init__(self, *, rings: Mapping[KeyKind, KeyRing[str]]) -> None:
        self._rings = dict(rings)

    @classmethod
    def generate(cls) -> 'KeyDocument':
        """Generates one key of each kind."""
        return cls(
            rings={
                kind: KeyRing(keys={0: new_key(kind)}, active=0)
                for kind in KeyKind
            }
        )

    def ring(self, kind: KeyKind) -> KeyRing[str]:
        """The keys of one kind."""
        return self._rings[kind]

    def replace(self, kind: KeyKind, ring: KeyRing[str]) -> 'KeyDocument':
        """Returns a copy in which the keys of one kind are replaced."""
        return KeyDocument(rings={**self._rings, kind: ring})

    def keys(self) -> Keys:
        """Decodes every key.

        Raises:
            ValueError: If a key does not have the format of its kind.
        """
        return Keys(
            connection_id=self._decode(KeyKind.CONNECTION_ID, bytes.fromhex),
            datagram=self._decode(KeyKind.DATAGRAM, bytes.fromhex),
            curve=self._decode(KeyKind.CURVE, _curve_pair),
            execution=self._decode(KeyKind.EXECUTION, bytes.fromhex),
        )

    def render(self) -> str:
        """Returns the document as TOML."""
        lines = list(_HEADER)
        for kind, ring in self._rings.items():
            lines.extend(('', f'[{kind}]', f'active = {ring.active}'))
            lines.extend(
                f'keys.{number} = "{key}"'
                for number, key in sorted(ring.keys.items())
            )
        return '\n'.join((*lines, ''))

    def _decode(
        self, kind: KeyKind, decode: Callable[[str], DecodedT]
    ) -> KeyRing[DecodedT]:
        ring = self._rings[kind]
        keys = {number: decode(text) for number, text in ring.keys.items()}
        return KeyRing(keys=keys, active=ring.active)


def _curve_pair(text: str) -> CurveKeyPair:
    return CurveKeyPair.of_secret(text.encode())
