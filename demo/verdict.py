"""Result of a run of the demonstration."""

import json
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final

import msgspec

#: Longest time until a configuration is in force, in seconds.
MAX_IN_FORCE_S: Final = 3

#: Longest time until clients are informed of the loss of their target, in
#: seconds.
MAX_RESET_DELAY_S: Final = 2

#: Time after a drain from which the target may start no request.
_DRAIN_LIMIT_MS: Final = 2000

_MS_PER_SECOND: Final = 1000


class Verdict(msgspec.Struct, kw_only=True):
    """Counts of one run; see docs/design.md for the guarantees.

    Args:
        connections: Connections that clients opened.
        broken: Connections that ended without being closed by the client,
            except those lost with their target.
        lost_with_target: Connections that ended with a killed target.
        requests: Requests that clients sent.
        answered: Requests with the target's answer.
        not_run: Requests reported as not run.
        unknown: Requests reported as unknown or without a report.
        run_twice: Request IDs that targets started more than once.
        misrouted: Request IDs in the ledger of another service's target, and
            answers that belong to another request.
        not_run_but_run: Requests reported as not run that a target started.
        late_starts: Requests that a target started more than 2 s after its
            drain.
        imbalance: Largest over mean of connections at the targets of a pool.
        violated: Guarantees that the replay of the traces found violated.
        learn_s: Seconds from the kill of a target's VM until the last of its
            clients was informed.
        in_force_s: Seconds until a configuration is in force at every node.
    """

    connections: int = 0
    broken: int = 0
    lost_with_target: int = 0
    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    run_twice: int = 0
    misrouted: int = 0
    not_run_but_run: int = 0
    late_starts: int = 0
    imbalance: float = 1.0
    violated: int = 0
    learn_s: float = 0
    in_force_s: float = 0

    @property
    def holds(self) -> bool:
        """Whether every guarantee was kept."""
        violations = (
            self.violated,
            self.broken,
            self.run_twice,
            self.misrouted,
            self.not_run_but_run,
            self.late_starts,
        )
        return not any(violations) and self.answered > 0

    @property
    def in_time(self) -> bool:
        """Whether nodes and clients were informed within the time limits."""
        return (
            self.in_force_s <= MAX_IN_FORCE_S
            and self.learn_s <= MAX_RESET_DELAY_S
        )

    def add_clients(self, results: Path) -> dict[str, str]:
        """Adds the results of clients; returns outcomes by request ID."""
        client_results = json.loads(results.read_text())
        counts = Counter(client_results['counts'])
        self.connections += counts['connections']
        self.broken += counts['broken']
        self.requests += counts['requests']
        self.answered += counts['answered']
        self.not_run += counts['not-run']
        self.unknown += counts['unknown']
        self.misrouted += counts['mixed_up']
        outcomes: dict[str, str] = client_results['outcomes']
        return outcomes

    def add_ledgers(
        self,
        ledgers: Iterable[tuple[Path, frozenset[str]]],
        outcomes: dict[str, str],
    ) -> None:
        """Adds the requests that targets started.

        Args:
            ledgers: Ledger files with the services of their targets.
            outcomes: Outcome by request ID.
        """
        starts: Counter[str] = Counter()
        for path, services in ledgers:
            for entry in _started(path):
                request_id = entry['id']
                starts[request_id] += 1
                if request_id.rpartition('-')[0] not in services:
                    self.misrouted += 1
        self.run_twice += sum(count > 1 for count in starts.values())
        self.not_run_but_run += sum(
            outcome == 'not-run' and request_id in starts
            for request_id, outcome in outcomes.items()
        )

    def add_drain(self, ledger: Path, drained_s: float) -> None:
        """Adds requests that started too long after a drain.

        Args:
            ledger: Ledger of the drained target.
            drained_s: Monotonic time from which the drain counts.
        """
        limit_ms = drained_s * _MS_PER_SECOND + _DRAIN_LIMIT_MS
        self.late_starts += sum(
            entry['started'] > limit_ms for entry in _started(ledger)
        )

    def line(self) -> str:
        """Returns the result as one line of key=value pairs."""
        pairs = msgspec.structs.asdict(self)
        pairs['imbalance'] = f'{self.imbalance:.3f}'
        pairs['learn_s'] = f'{self.learn_s:.2f}'
        pairs['in_force_s'] = f'{self.in_force_s:.2f}'
        return ' '.join(f'{key}={value}' for key, value in pairs.items())


def _started(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    entries = [json.loads(line) for line in path.read_text().splitlines()]
    return [entry for entry in entries if entry['outcome'] == 'started']
