"""Deltas between records."""

from hypothesis import given, settings, strategies

from anvilthread.configuration.delta import make_delta
from anvilthread.configuration.record import Change, ConfigurationRecord
from anvilthread.configuration.text_edit import compare, edit
from anvilthread.configuration.texts import ConfigurationTexts

_lines = strategies.lists(
    strategies.sampled_from(['a\n', 'b\n', 'c\r', 'd\n', '\n', 'e']),
    max_size=12,
).map(''.join)
_files = strategies.dictionaries(
    strategies.sampled_from(['kgn-a', 'kgn-b', 'kgn-c']), _lines
)


def _record(
    revision: int, base: str, overlays: dict[str, str]
) -> ConfigurationRecord:
    changes = [
        Change(
            revision=number,
            change_id=f'change-{number}',
            operator='ama',
            applied_ms=number,
        )
        for number in range(1, revision + 1)
    ]
    return ConfigurationRecord(
        change=changes[-1],
        texts=ConfigurationTexts(base=base, overlays=overlays),
        history=tuple(changes[-65:-1]),
    )


@settings(derandomize=True, max_examples=300, deadline=None)
@given(old=_lines, new=_lines)
def test_edits_rebuild_the_text(old: str, new: str) -> None:
    """Guards against a delta that yields another text."""
    assert edit(old, compare(old, new)) == new


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    old=_files,
    new=_files,
    base=_lines,
    ahead=strategies.integers(1, 80),
)
def test_delta_rebuilds_the_record(
    old: dict[str, str], new: dict[str, str], base: str, ahead: int
) -> None:
    """Guards against nodes that hold different records of one revision."""
    before = _record(3, 'x\n', old)
    after = _record(3 + ahead, base, new)
    delta = make_delta(before, after)
    assert delta.apply(before) == after
    assert delta.apply(_record(2, 'x\n', old)) is None
    other = delta.apply(_record(3, 'y\n', {}))
    assert other is None or other == after


def test_long_changes_are_replaced_as_a_whole() -> None:
    """Guards against a comparison that takes quadratic time."""
    old = ''.join(f'{number}\n' for number in range(2000))
    new = old.replace('7', 'seven')
    edits = compare(old, new)
    assert len(edits) == 1
    assert edit(old, edits) == new
