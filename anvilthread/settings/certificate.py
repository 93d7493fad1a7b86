"""Self-signed TLS certificates."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from typing import Final

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)

#: Tolerated difference between the clocks of nodes and clients.
_CLOCK_SKEW: Final = timedelta(hours=1)


class SelfSignedCertificate:
    """A certificate for tests and for clients that pin it.

    Args:
        names: Host names and IPv4 addresses that it is valid for.
        days: Days for which it is valid.
        now: Start of its validity; the current time by default.
    """

    __slots__ = ('_certificate', '_key')

    def __init__(
        self, *, names: tuple[str, ...], days: int, now: datetime | None = None
    ) -> None:
        valid_from = now or datetime.now(UTC)
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, names[0])]
        )
        alternative_names = [_general_name(name) for name in names]
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(subject)
            .public_key(self._key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(valid_from - _CLOCK_SKEW)
            .not_valid_after(valid_from + timedelta(days=days))
            .add_extension(
                x509.SubjectAlternativeName(alternative_names), critical=False
            )
            .sign(self._key, hashes.SHA256())
        )

    def certificate_pem(self) -> bytes:
        """The certificate in PEM form."""
        return self._certificate.public_bytes(Encoding.PEM)

    def key_pem(self) -> bytes:
        """The private key in PEM form, not encrypted."""
        return self._key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()
        )


def _general_name(name: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ip_address(name))
    except ValueError:
        return x509.DNSName(name)
