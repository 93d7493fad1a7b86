"""Key files: writing, reading, faults and the order of a rotation."""

import stat
from datetime import UTC, datetime
from functools import partial
from pathlib import Path

import pytest
import zmq
from cryptography import x509
from syrupy.assertion import SnapshotAssertion

from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.settings import KeyFile, KeyRing
from anvilthread.settings.certificate import SelfSignedCertificate
from anvilthread.settings.key_document import KeyDocument
from anvilthread.settings.key_kind import KeyKind
from anvilthread.settings.key_rotation import RotationStep, rotate
from anvilthread.settings.key_text import new_key

HEX_16 = '00' * 16
HEX_32 = '11' * 32
SECRET = 'rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7'


def _toml(**changes: str) -> str:
    tables = {
        'connection_id': f'active = 0\nkeys = {{0 = "{HEX_16}"}}',
        'datagram': f'active = 0\nkeys = {{0 = "{HEX_32}"}}',
        'curve': f'active = 0\nkeys = {{0 = "{SECRET}"}}',
        'execution': f'active = 0\nkeys = {{0 = "{HEX_32}"}}',
    }
    tables.update(changes)
    return '\n'.join(f'[{name}]\n{text}' for name, text in tables.items())


def test_new_file_is_private_and_usable(tmp_path: Path) -> None:
    """Guards against keys that the codecs refuse or that others can read."""
    key_file = KeyFile(path=tmp_path / 'keys.toml')
    key_file.write(KeyDocument.generate(), overwrite=False).unwrap()
    keys = key_file.load().unwrap()
    assert stat.S_IMODE(key_file.path.stat().st_mode) == 0o600
    ring = keys.connection_id
    assert ConnectionIdCodec(keys=ring.keys, active=ring.active).active == 0
    EncapsulationCodec(keys=keys.datagram.ordered)
    pair = keys.curve.current
    assert zmq.curve_public(pair.secret) == pair.public
    assert [path.name for path in tmp_path.iterdir()] == ['keys.toml']


def test_existing_file_is_not_replaced(tmp_path: Path) -> None:
    """Guards against `key new` breaking every connection of a cluster."""
    key_file = KeyFile(path=tmp_path / 'keys.toml')
    key_file.write(KeyDocument.generate(), overwrite=False).unwrap()
    before = key_file.path.read_bytes()
    error = key_file.write(KeyDocument.generate(), overwrite=False).unwrap_err()
    assert 'exists already' in str(error)
    assert key_file.path.read_bytes() == before


@pytest.mark.parametrize(
    ('case', 'text'),
    [
        ('missing table', '[zebra]\n'),
        ('unknown key', _toml(datagram=f'spare = 1\nkeys = {{0="{HEX_32}"}}')),
        ('short key', _toml(connection_id='active=0\nkeys = {0 = "00"}')),
        ('reserved', _toml(connection_id=f'active=7\nkeys={{7="{HEX_16}"}}')),
        ('no active', _toml(execution=f'active = 1\nkeys = {{0="{HEX_32}"}}')),
        ('no keys', _toml(execution='active = 0\nkeys = {}')),
        ('bad curve', _toml(curve=f'active=0\nkeys={{0="{SECRET}"}}')
            .replace('rq:rM', '~~~~~')),
    ],
)  # fmt: skip
def test_fault_names_the_key(
    case: str, text: str, tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    """Guards against a daemon that starts with keys that other nodes refuse."""
    path = tmp_path / 'keys.toml'
    path.write_text(text)
    path.chmod(0o600)
    error = KeyFile(path=path).load().unwrap_err()
    assert str(error).replace(str(tmp_path), 'DIR') == snapshot(name=case)
    assert HEX_32 not in str(error)


def test_file_accessible_to_others_is_refused(tmp_path: Path) -> None:
    """Guards against keys that any user of the VM can read."""
    path = tmp_path / 'keys.toml'
    path.write_text(_toml())
    path.chmod(0o644)
    error = KeyFile(path=path).load().unwrap_err()
    assert 'chmod o-rwx' in str(error)
    path.chmod(0o640)
    KeyFile(path=path).load().unwrap()


@pytest.mark.parametrize('kind', list(KeyKind))
def test_rotation_never_uses_an_unknown_key(
    kind: KeyKind, tmp_path: Path
) -> None:
    """Guards against a rotation step that splits the cluster.

    Nodes with the file before a step and nodes with the file after it must
    accept each other's active key.
    """
    document = KeyDocument.generate()
    key_file = KeyFile(path=tmp_path / 'keys.toml')
    numbers = []
    for step in (*RotationStep, *RotationStep):
        before = document.ring(kind)
        ring = rotate(before, step, partial(new_key, kind)).unwrap()
        # Nodes before and after a step accept each other's active key.
        assert before.active in ring.keys
        assert ring.active in before.keys
        document = document.replace(kind, ring)
        key_file.write(document, overwrite=True).unwrap()
        assert key_file.read().unwrap().ring(kind).keys == ring.keys
        numbers.append((sorted(ring.keys), ring.active))
    assert numbers == [
        ([0, 1], 0),
        ([0, 1], 1),
        ([1], 1),
        ([1, 2], 1),
        ([1, 2], 2),
        ([2], 2),
    ]


@pytest.mark.parametrize(
    ('numbers', 'active', 'due'),
    [
        ((0,), 0, RotationStep.ADD),
        ((0, 1), 0, RotationStep.ACTIVATE),
        ((0, 1), 1, RotationStep.REMOVE),
        ((6, 0), 6, RotationStep.ACTIVATE),
        ((6, 0), 0, RotationStep.REMOVE),
    ],
)
def test_only_the_due_step_is_accepted(
    numbers: tuple[int, ...], active: int, due: RotationStep
) -> None:
    """Guards against the removal of a key that nodes still use."""
    ring = KeyRing(keys=dict.fromkeys(numbers, 'old'), active=active)
    for step in RotationStep:
        outcome = rotate(ring, step, lambda: 'new')
        assert outcome.is_ok() == (step is due)
        if outcome.is_err():
            assert f'--step {due}' in outcome.unwrap_err().remedy


def test_certificate_names_hosts_and_validity() -> None:
    """Guards against a certificate whose names or dates clients refuse."""
    now = datetime(2026, 1, 1, tzinfo=UTC)
    made = SelfSignedCertificate(
        names=('bookings.example', '10.1.0.9'), days=30, now=now
    )
    parsed = x509.load_pem_x509_certificate(made.certificate_pem())
    names = parsed.extensions.get_extension_for_class(
        x509.SubjectAlternativeName
    ).value
    assert names.get_values_for_type(x509.DNSName) == ['bookings.example']
    assert str(names.get_values_for_type(x509.IPAddress)[0]) == '10.1.0.9'
    assert parsed.not_valid_before_utc < now < parsed.not_valid_after_utc
    assert b'PRIVATE KEY' in made.key_pem()
