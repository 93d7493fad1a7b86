"""Every key of a cluster."""

from anvilthread.settings.key_ring import KeyRing
from anvilthread.transport.curve_key_pair import CurveKeyPair


class Keys:
    """The content of a key file.

    Args:
        connection_id: AES-128 keys for connection IDs, 16 bytes.
        datagram: Keys for datagram tags, 32 bytes.
        curve: CURVE key pairs of the nodes.
        execution: Keys that seal execution keys, 32 bytes.
    """

    __slots__ = ('_connection_id', '_curve', '_datagram', '_execution')

    def __init__(
        self,
        *,
        connection_id: KeyRing[bytes],
        datagram: KeyRing[bytes],
        curve: KeyRing[CurveKeyPair],
        execution: KeyRing[bytes],
    ) -> None:
        self._connection_id = connection_id
        self._datagram = datagram
        self._curve = curve
        self._execution = execution

    @property
    def connection_id(self) -> KeyRing[bytes]:
        """AES-128 keys for connection IDs."""
        return self._connection_id

    @property
    def datagram(self) -> KeyRing[bytes]:
        """Keys for datagram tags; ``ordered`` has the active one first."""
        return self._datagram

    @property
    def curve(self) -> KeyRing[CurveKeyPair]:
        """CURVE key pairs of the nodes."""
        return self._curve

    @property
    def execution(self) -> KeyRing[bytes]:
        """Keys that seal execution keys."""
        return self._execution
