"""Changed lines of one file."""

from collections.abc import Iterator
from difflib import SequenceMatcher
from typing import Final

from msgspec import Struct

#: Longest run of lines that is searched for unchanged lines within; the
#: search takes quadratic time. Longer runs are replaced as a whole.
_MAX_SEARCHED: Final = 400


class TextEdit(Struct, frozen=True, kw_only=True, array_like=True):
    """Replacement of a range of lines.

    Attributes:
        start: First line that is replaced, counted from 0.
        end: First line that is kept again.
        text: The new lines.
    """

    start: int
    end: int
    text: str


def compare(old: str, new: str) -> tuple[TextEdit, ...]:
    """Finds the edits that turn one text into another."""
    before = old.splitlines(keepends=True)
    after = new.splitlines(keepends=True)
    head = _common(before, after)
    before, after = before[head:], after[head:]
    tail = _common(list(reversed(before)), list(reversed(after)))
    before = before[: len(before) - tail]
    after = after[: len(after) - tail]
    if max(len(before), len(after)) > _MAX_SEARCHED:
        text = ''.join(after)
        return (TextEdit(start=head, end=head + len(before), text=text),)
    return tuple(_search(head, before, after))


def edit(old: str, edits: tuple[TextEdit, ...]) -> str:
    """Applies edits to the text they were made for."""
    lines = old.splitlines(keepends=True)
    pieces: list[str] = []
    kept = 0
    for one in edits:
        pieces.extend(lines[kept : one.start])
        pieces.append(one.text)
        kept = one.end
    pieces.extend(lines[kept:])
    return ''.join(pieces)


def _search(
    head: int, before: list[str], after: list[str]
) -> Iterator[TextEdit]:
    matcher = SequenceMatcher(None, before, after, autojunk=False)
    for tag, start, end, new_start, new_end in matcher.get_opcodes():
        if tag != 'equal':
            text = ''.join(after[new_start:new_end])
            yield TextEdit(start=head + start, end=head + end, text=text)


def _common(one: list[str], other: list[str]) -> int:
    """Counts the equal lines at the start of both."""
    for index, (left, right) in enumerate(zip(one, other, strict=False)):
        if left != right:
            return index
    return min(len(one), len(other))
