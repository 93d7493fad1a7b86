"""The commands that make and rotate keys."""

from functools import partial
from pathlib import Path
from typing import Annotated, Final, TypeAlias

import typer

from anvilthread.commands.command_failure import (
    CommandFailure,
    require,
    write_failure,
)
from anvilthread.commands.exit_code import ExitCode
from anvilthread.error import AnvilthreadError
from anvilthread.settings import KeyFile
from anvilthread.settings.certificate import SelfSignedCertificate
from anvilthread.settings.key_document import KeyDocument
from anvilthread.settings.key_kind import KeyKind
from anvilthread.settings.key_rotation import RotationStep, rotate
from anvilthread.settings.key_text import new_key
from anvilthread.settings.private_file import write_private

key_app: Final = typer.Typer(
    help='Make and rotate the keys of a cluster.',
    no_args_is_help=True,
    rich_markup_mode=None,
)

FileArgument: TypeAlias = Annotated[
    Path,
    typer.Argument(metavar='FILE', help='Key file.', show_default=False),
]

_VALID_DAYS: Final = 90
_NEW_HELP: Final = """Make a key file, and a TLS certificate on request.

Nothing is replaced: a new key file would break every connection.

\b
Examples:
  anvilthread key new keys.toml
  anvilthread key new keys.toml --certificate certificate.pem \\
    --certificate-key certificate-key.pem --host bookings.example
"""
_ROTATE_HELP: Final = """Do one step of a key rotation.

The steps are add, activate and remove. After each step, copy the file to
every node and send SIGHUP before the next one; docs/operators.md says how
long to wait.

\b
Examples:
  anvilthread key rotate keys.toml --kind datagram --step add
  anvilthread key rotate keys.toml --kind datagram --step activate
  anvilthread key rotate keys.toml --kind datagram --step remove
"""


@key_app.command('new', help=_NEW_HELP)
def new(
    file: FileArgument,
    *,
    certificate: Annotated[
        Path | None,
        typer.Option(
            '--certificate',
            metavar='FILE',
            help='Write a self-signed certificate.',
        ),
    ] = None,
    certificate_key: Annotated[
        Path | None,
        typer.Option(
            '--certificate-key',
            metavar='FILE',
            help='Write the private key of the certificate.',
        ),
    ] = None,
    host: Annotated[
        list[str] | None,
        typer.Option(
            '--host',
            metavar='NAME',
            help='Host name or IP of the certificate; may be repeated.',
        ),
    ] = None,
    days: Annotated[
        int,
        typer.Option('--days', min=1, help='Validity of the certificate.'),
    ] = _VALID_DAYS,
) -> None:
    """Makes keys and optionally a certificate."""
    _require_together(certificate, certificate_key, host)
    document = KeyDocument.generate()
    require(KeyFile(path=file).write(document, overwrite=False))
    typer.echo(f'{file}: made with one key of each kind')
    if certificate is not None and certificate_key is not None and host:
        self_signed = SelfSignedCertificate(names=tuple(host), days=days)
        _write(certificate_key, self_signed.key_pem())
        _write(certificate, self_signed.certificate_pem())
        typer.echo(f'{certificate}: made for {", ".join(host)}')


@key_app.command('rotate', help=_ROTATE_HELP)
def rotate_keys(
    file: FileArgument,
    *,
    kind: Annotated[
        KeyKind, typer.Option('--kind', help='Kind of key.', show_default=False)
    ],
    step: Annotated[
        RotationStep,
        typer.Option('--step', help='Step to do.', show_default=False),
    ],
) -> None:
    """Does one step of a rotation."""
    key_file = KeyFile(path=file)
    document = require(key_file.read())
    ring = require(
        rotate(document.ring(kind), step, partial(new_key, kind)),
        ExitCode.REFUSED,
    )
    changed = document.replace(kind, ring)
    require(key_file.write(changed, overwrite=True))
    numbers = ', '.join(str(number) for number in sorted(ring.keys))
    typer.echo(
        f'{file}: {kind} accepts {numbers}; active {ring.active}\n'
        'Copy the file to every node and send SIGHUP before the next step.'
    )


def _require_together(*options: object) -> None:
    if any(options) and not all(options):
        raise CommandFailure(
            error=AnvilthreadError(
                reason='a certificate needs two files and a host',
                remedy='give --certificate, --certificate-key and --host',
            ),
            exit_code=ExitCode.USAGE,
        )


def _write(path: Path, content: bytes) -> None:
    try:
        write_private(path, content, overwrite=False)
    except OSError as error:
        raise write_failure(path, error) from None
