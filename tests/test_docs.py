"""The docs name all settings, events, reasons, guarantees and exit codes."""

from pathlib import Path

import msgspec
import pytest

from anvilthread.commands.exit_code import ExitCode
from anvilthread.reports.connection_events import CloseReason
from anvilthread.reports.replay import ALL_GUARANTEES
from anvilthread.reports.trace_event import TraceEvent
from anvilthread.settings import AgentSettings, BalancerSettings
from anvilthread.settings.key_kind import KeyKind

DOCS = Path(__file__).parents[1] / 'docs'
SETTINGS = {
    field.name
    for settings_type in (BalancerSettings, AgentSettings)
    for field in msgspec.structs.fields(settings_type)
}
KINDS = {
    str(event_type.__struct_config__.tag)
    for event_type in TraceEvent.__subclasses__()
}


@pytest.mark.parametrize(
    ('page', 'names'),
    [
        ('operators.md', SETTINGS),
        ('operators.md', set(KeyKind)),
        ('traces.md', KINDS),
        ('traces.md', set(CloseReason)),
        ('traces.md', {item.name for item in ALL_GUARANTEES}),
    ],
)
def test_page_contains_every_name(page: str, names: set[str]) -> None:
    """Guards against a setting, event or reason without documentation."""
    text = (DOCS / page).read_text()
    assert {name for name in names if f'`{name}`' not in text} == set()


def test_every_exit_code_is_explained() -> None:
    """Guards against exit codes that scripts cannot look up."""
    text = (DOCS / 'commands.md').read_text()
    assert [code for code in ExitCode if f'| {code:d} |' not in text] == []
