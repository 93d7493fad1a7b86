"""Output of ``config check``."""

from collections.abc import Sequence
from typing import Any

from msgspec import Struct

from anvilthread.commands.configuration_gateway import PendingChanges
from anvilthread.file_fault import FileFault


class CheckReport(Struct, frozen=True, kw_only=True):
    """What a check of valid files has found.

    Attributes:
        directory: Directory of the files.
        sites: Names of the sites.
        findings: Entries that can never match, or contradict each other.
        changes: What differs from the store; None if it was not asked.
    """

    directory: str
    sites: Sequence[str]
    findings: Sequence[FileFault]
    changes: PendingChanges | None

    def lines(self) -> list[str]:
        """Returns the report in words."""
        lines = [f'{self.directory}: valid for {", ".join(self.sites)}']
        lines.extend(f'finding: {finding}' for finding in self.findings)
        if self.changes is None:
            return lines
        revision = self.changes.revision
        stored = f'revision {revision}' if revision else 'the empty store'
        if self.changes.keys:
            lines.append(f'differs from {stored}:')
            lines.extend(f'  {change}' for change in self.changes.keys)
        else:
            lines.append(f'no value differs from {stored}')
        return lines

    def as_json(self) -> dict[str, Any]:
        """Returns the report for scripts."""
        report: dict[str, Any] = {
            'valid': True,
            'sites': self.sites,
            'findings': [
                {
                    'file': finding.file,
                    'key': finding.key,
                    'reason': finding.reason,
                    'remedy': finding.remedy,
                }
                for finding in self.findings
            ],
        }
        if self.changes is not None:
            report['changes'] = self.changes
        return report
