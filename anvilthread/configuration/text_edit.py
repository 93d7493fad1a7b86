"""Line-based edits of one file."""

from collections.abc import Iterator
from difflib import SequenceMatcher
from typing import Final

from msgspec import Struct

#: Longest range of lines that is compared line by line, which takes quadratic
#: time. A longer range is replaced as a whole.
_MAX_DIFFED_LINES: Final = 400


class TextEdit(Struct, frozen=True, kw_only=True, array_like=True):
    """Replacement of a range of lines.

    Attributes:
        start: First line that is replaced, counted from 0.
        end: First line after the replaced range.
        text: The new lines.
    """

    start: int
    end: int
    text: str


def compare(old: str, new: str) -> tuple[TextEdit, ...]:
    """Finds the edits that turn one text into another."""
    before = old.splitlines(keepends=True)
    after = new.splitlines(keepends=True)
    prefix_size = _common_prefix(before, after)
    before, after = before[prefix_size:], after[prefix_size:]
    suffix_size = _common_prefix(list(reversed(before)), list(reversed(after)))
    before = before[: len(before) - suffix_size]
    after = after[: len(after) - suffix_size]
    if max(len(before), len(after)) > _MAX_DIFFED_LINES:
        text = ''.join(after)
        return (
            TextEdit(
                start=prefix_size, end=prefix_size + len(before), text=text
            ),
        )
    return tuple(_diff_lines(prefix_size, before, after))


def edit(old: str, edits: tuple[TextEdit, ...]) -> str:
    """Applies edits to the text they were made for."""
    lines = old.splitlines(keepends=True)
    pieces: list[str] = []
    next_line = 0
    for replacement in edits:
        pieces.extend(lines[next_line : replacement.start])
        pieces.append(replacement.text)
        next_line = replacement.end
    pieces.extend(lines[next_line:])
    return ''.join(pieces)


def _diff_lines(
    offset: int, before: list[str], after: list[str]
) -> Iterator[TextEdit]:
    matcher = SequenceMatcher(None, before, after, autojunk=False)
    for tag, start, end, new_start, new_end in matcher.get_opcodes():
        if tag != 'equal':
            text = ''.join(after[new_start:new_end])
            yield TextEdit(start=offset + start, end=offset + end, text=text)


def _common_prefix(first: list[str], second: list[str]) -> int:
    """Returns the number of equal lines at the start of both."""
    for index, (left, right) in enumerate(zip(first, second, strict=False)):
        if left != right:
            return index
    return min(len(first), len(second))
