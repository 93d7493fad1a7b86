"""Diffs and change histories for operators."""

from datetime import UTC, datetime
from difflib import unified_diff
from typing import Final

from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.texts import ConfigurationTexts

_MS_PER_SECOND: Final = 1000


def diff_texts(
    old: ConfigurationTexts, new: ConfigurationTexts, label: str = 'new'
) -> str:
    """Returns a unified diff over all files.

    Args:
        old: The earlier files.
        new: The later files.
        label: Name of the later files in the diff.

    Returns:
        The diff; empty if nothing differs.
    """
    before, after = old.files(), new.files()
    lines: list[str] = []
    for name in sorted({*before, *after}):
        lines.extend(
            unified_diff(
                before.get(name, '').splitlines(),
                after.get(name, '').splitlines(),
                fromfile=f'store/{name}',
                tofile=f'{label}/{name}',
                lineterm='',
            )
        )
    return '\n'.join(lines)


def describe_history(record: ConfigurationRecord) -> str:
    """Returns one line per known change, the latest first."""
    lines = [
        f'revision={change.revision} '
        f'time={_format_time(change.applied_ms)} '
        f'operator={change.operator} change={change.change_id}'
        for change in reversed(record.changes)
    ]
    return '\n'.join(lines)


def _format_time(time_ms: int) -> str:
    moment = datetime.fromtimestamp(time_ms / _MS_PER_SECOND, tz=UTC)
    return moment.isoformat(timespec='seconds')
