"""Reading of process settings: valid examples and every kind of fault."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from syrupy.assertion import SnapshotAssertion

from anvilthread.settings import (
    SettingsError,
    read_agent_settings,
    read_balancer_settings,
)
from anvilthread.settings.toml_file import parse_toml

EXAMPLES = Path(__file__).parents[2] / 'examples' / 'settings'


def _toml(**changes: str) -> str:
    lines = {
        'name': '"b1"',
        'site': '"tema-plant"',
        'control': '"10.1.0.11:7946"',
        'data': '"10.1.0.11:7443"',
        'request': '"10.1.0.11:7947"',
        'metrics': '"10.1.0.11:9464"',
        'seeds': '["10.1.0.11:7946"]',
        'keys': '"keys.toml"',
    }
    lines.update(changes)
    return '\n'.join(f'{key} = {text}' for key, text in lines.items() if text)


def test_examples_are_complete() -> None:
    """Guards against documented examples that the program refuses."""
    balancer = read_balancer_settings(EXAMPLES / 'balancer.toml').unwrap()
    agent = read_agent_settings(EXAMPLES / 'agent.toml').unwrap()
    assert str(balancer.listen_ip) == '10.1.0.11'
    assert balancer.keys == EXAMPLES / 'keys.toml'
    assert agent.services == ('bookings', 'dispatch')
    assert str(agent.seeds[1]) == '10.2.0.11:7946'


@pytest.mark.parametrize(
    ('case', 'text'),
    [
        ('not toml', 'name = '),
        ('not utf-8', 'name = "\xff"'),
        ('missing keys', _toml(control='', seeds='')),
        ('wrong types', _toml(name='5', seeds='["10.1.0.11"]')),
        ('unknown keys', _toml(contol='"x"', zebra='1')),
        ('limits', _toml(name='""', stop_deadline_ms='-1', seeds='[]')),
        ('paths', _toml(keys='""', store='"10.1.0.5"')),
        ('listen ip', _toml(listen_ip='"10.1.0.256"')),
        ('not reachable', _toml(control='"0.0.0.0:7946"')),
        ('no port', _toml(request='"10.1.0.11:0"')),
        ('shared', _toml(data='"10.1.0.11:7946"')),
    ],
)
def test_fault_names_key_reason_and_remedy(
    case: str, text: str, tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    """Guards against bad settings accepted or refused without a remedy."""
    path = tmp_path / 'balancer.toml'
    path.write_text(text, encoding='latin-1')
    error = read_balancer_settings(path).unwrap_err()
    assert str(error).replace(str(tmp_path), 'DIR') == snapshot(name=case)


def test_error_names_the_unreadable_file(tmp_path: Path) -> None:
    """Guards against a traceback when the path is wrong."""
    path = tmp_path / 'absent.toml'
    error = read_agent_settings(path).unwrap_err()
    assert str(error) == (
        f'{path}: cannot be read (No such file or directory); '
        'check the path and its permissions'
    )


@given(content=st.binary(max_size=200))
@settings(derandomize=True, max_examples=200)
def test_any_bytes_give_a_table_or_an_error(content: bytes) -> None:
    """Guards against exceptions from the parser for damaged files."""
    outcome = parse_toml(Path('x.toml'), content)
    assert outcome.is_ok() or isinstance(outcome.err(), SettingsError)
