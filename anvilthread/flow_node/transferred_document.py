"""What a node sends to a peer that asks for its configuration."""

import msgspec

from anvilthread.flows.evacuation_view import EvacuationView

_UNKNOWN_AGE_MS = -1


class TransferredDocument(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True
):
    """A configuration with the evacuated sites.

    Attributes:
        document: The configuration as the store holds it.
        evacuation: The evacuated sites; None where sites are not evacuated.
        evacuation_age_ms: Time since the store held that view; -1 if unknown.
    """

    document: bytes
    evacuation: EvacuationView | None = None
    evacuation_age_ms: int = _UNKNOWN_AGE_MS
