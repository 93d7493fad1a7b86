"""Settings of an agent process."""

from typing import Final

from anvilthread.settings.node_settings import NodeSettings
from anvilthread.settings.setting_types import (
    FilePath,
    KeptAnswerBytes,
    KeptAnswerMs,
    QueueLength,
    ServiceNames,
    Slots,
    TargetAddress,
)

_QUEUE_LENGTH: Final = 64
_KEPT_ANSWER_BYTES: Final = 67_108_864
_KEPT_ANSWER_MS: Final = 600_000


class AgentSettings(NodeSettings, frozen=True, kw_only=True):
    """Settings of an agent.

    Attributes:
        services: Names of the services that the target runs.
        target: TCP address of the target.
        slots: Requests that the target runs at once.
        certificate: Path of the TLS certificate chain in PEM form.
        certificate_key: Path of the private key of the certificate.
        queue_length: Requests that may wait for a slot.
        kept_answer_bytes: Bytes of memory for answers kept for repeated
            requests.
        kept_answer_ms: Time for which answers are kept, in ms.
    """

    services: ServiceNames
    target: TargetAddress
    slots: Slots
    certificate: FilePath
    certificate_key: FilePath
    queue_length: QueueLength = _QUEUE_LENGTH
    kept_answer_bytes: KeptAnswerBytes = _KEPT_ANSWER_BYTES
    kept_answer_ms: KeptAnswerMs = _KEPT_ANSWER_MS
