"""A record of the requests that a stand-in target has run."""

import json
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec


class LedgerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a ledger.

    Args:
        id: Identifier that the client gave the request.
        started: Time of the start in ms.
        finished: Time of the end in ms; None in the line of the start.
        outcome: ``started``, ``done``, ``cancelled``, ``deadline`` or
            ``killed``.
    """

    id: str
    started: int
    finished: int | None
    outcome: str


class Ledger:
    """Entries in memory and, if a path is given, in a JSON Lines file.

    A request is recorded when it starts and again when it ends, so that the
    ledger of a killed target still shows the requests that it had started.

    Args:
        path: File to append to.
    """

    def __init__(self, *, path: Path | None = None) -> None:
        self._path = path
        self.entries: list[LedgerEntry] = []

    def start(self, identifier: str, now_ms: int) -> LedgerEntry:
        """Records the start of a request."""
        entry = LedgerEntry(
            id=identifier, started=now_ms, finished=None, outcome='started'
        )
        self._add(entry)
        return entry

    def finish(self, entry: LedgerEntry, now_ms: int, outcome: str) -> None:
        """Records the end of a request."""
        self._add(
            msgspec.structs.replace(entry, finished=now_ms, outcome=outcome)
        )

    def starts(self) -> Counter[str]:
        """Number of starts by identifier."""
        started = (
            entry.id for entry in self.entries if entry.outcome == 'started'
        )
        return Counter(started)

    def outcomes(self, identifier: str) -> list[str]:
        """Outcomes of the ended runs of one request."""
        return [
            entry.outcome
            for entry in self.entries
            if entry.id == identifier and entry.finished is not None
        ]

    @classmethod
    def read(cls, path: Path) -> 'Ledger':
        """Reads the ledger that another process has written."""
        ledger = cls()
        for line in path.read_text().splitlines():
            fields: dict[str, Any] = json.loads(line)
            ledger.entries.append(LedgerEntry(**fields))
        return ledger

    def _add(self, entry: LedgerEntry) -> None:
        self.entries.append(entry)
        if self._path is not None:
            with self._path.open('ab') as ledger:
                ledger.write(b'%b\n' % msgspec.json.encode(entry))
