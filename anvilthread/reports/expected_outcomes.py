"""The stated outcomes of a trace."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from anvilthread.error import AnvilthreadError
from anvilthread.reports.trace_error import TraceError
from anvilthread.reports.verdict import Verdict
from anvilthread.settings.toml_file import read_toml


class ExpectedOutcomes(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """What a replay must find.

    Attributes:
        verdicts: ``holds``, ``violated`` or ``no evidence`` by guarantee.
        first_violations: Line of the first violation by guarantee.
    """

    verdicts: dict[str, str]
    first_violations: dict[str, int] = msgspec.field(default_factory=dict)

    @classmethod
    def read(cls, path: Path) -> 'Result[ExpectedOutcomes, AnvilthreadError]':
        """Reads an outcomes file in TOML."""
        table = read_toml(path)
        if isinstance(table, Err):
            return table
        try:
            return Ok(msgspec.convert(table.ok_value, cls))
        except msgspec.ValidationError as error:
            return Err(
                TraceError(
                    reason=f'{path}: {error}',
                    remedy='write it as docs/traces.md defines it',
                )
            )

    def differences(self, verdicts: Sequence[Verdict]) -> Iterator[str]:
        """Yields every stated outcome that the replay did not find.

        A guarantee without a stated outcome must not be violated.
        """
        known = {verdict.name for verdict in verdicts}
        for name in (*self.verdicts, *self.first_violations):
            if name not in known:
                yield f'{name}: is not the name of a guarantee'
        for verdict in verdicts:
            yield from self._compare(verdict)

    def _compare(self, verdict: Verdict) -> Iterator[str]:
        stated = self.verdicts.get(verdict.name)
        if stated is None and verdict.violations:
            yield f'{verdict.name}: violated, but no outcome is stated'
        if stated not in (None, verdict.text):
            yield f'{verdict.name}: {verdict.text}, but stated as {stated}'
        line = self.first_violations.get(verdict.name)
        found = verdict.violations[0].line if verdict.violations else None
        if line not in (None, found):
            yield (
                f'{verdict.name}: first violation in line {found},'
                f' but stated as line {line}'
            )
