"""A target in virtual time, without sockets."""

from collections.abc import Callable
from functools import partial
from typing import Final
from urllib.parse import parse_qsl, urlsplit

import gevent
from gevent.event import Event

from anvilthread.admission import Slot
from anvilthread.clock import Clock
from anvilthread.outcomes import (
    ClientGoneError,
    Outcome,
    Reason,
    Request,
    SingleAnswer,
)
from anvilthread.outcomes.event_link import EventLink
from standins.ledger import Ledger, LedgerEntry
from standins.picture import picture

_CHUNK_BYTES: Final = 16_384


class VirtualTarget:
    """An edge and its target on a virtual clock, with a ledger of the runs.

    The query of a request sets the identifier in the ledger (``id``), the
    duration of the run (``ms``), the size of the answer (``bytes``) and a
    fault: ``refuse``, ``lost``, ``cut``.

    Args:
        clock: Clock of the runs.
        ledger: Record of the runs; several targets may share it.
        slots: Concurrent runs that the target allows, streams aside; further
            ones are counted as excess.
        run_ms: Duration of a run whose request specifies none.
        confirm_ms: Time until the target confirms a cancellation.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        ledger: Ledger,
        slots: int = 2,
        run_ms: Callable[[], float] = partial(float, 20),
        confirm_ms: float = 5,
    ) -> None:
        self.clock = clock
        self.ledger = ledger
        self.slots = slots
        self.busy = 0
        self.excess = 0
        self.alive = True
        self._run_ms = run_ms
        self._confirm_ms = confirm_ms
        self._killed = Event()

    def kill(self) -> None:
        """Ends every run without an answer and refuses connections."""
        self.alive = False
        self._killed.set()

    def revive(self) -> None:
        """Accepts connections again."""
        self.alive = True
        self._killed = Event()

    def run(
        self, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        """Runs a request in virtual time."""
        query = dict(parse_qsl(urlsplit(request.path).query))
        refusal = self._refusal(query)
        if refusal is not None:
            slot.release()
            return refusal
        entry = self._start(query['id'], request)
        run_ms = float(query.get('ms', self._run_ms()))
        remaining_ms = request.deadline_ms - self.clock.now_ms()
        run_outcome = self._wait(
            request, run_ms if request.stream else remaining_ms, run_ms
        )
        if run_outcome != 'done':
            gevent.spawn(self._confirm, request, entry, slot, run_outcome)
            return _unfinished(run_outcome)
        self._finish(request, entry, slot, run_outcome)
        return _answer(query, answer)

    def _refusal(self, query: dict[str, str]) -> Outcome | None:
        if not self.alive:
            return Outcome.not_run(Reason.TARGET_UNAVAILABLE, 'killed', 1000)
        if query.get('fault') == 'refuse':
            return Outcome.not_run(Reason.TARGET_REFUSED, 'refused', 1000)
        return None

    def _start(self, identifier: str, request: Request) -> LedgerEntry:
        if not request.stream:
            self.busy += 1
            self.excess += self.busy > self.slots
        return self.ledger.start(identifier, self.clock.now_ms())

    def _wait(
        self, request: Request, remaining_ms: float, run_ms: float
    ) -> str:
        interrupted = Event()
        killed = self._killed
        with EventLink(sources=[request.cancelled, killed], target=interrupted):
            self.clock.wait(interrupted, min(remaining_ms, run_ms))
        if killed.is_set():
            return 'killed'
        if request.cancelled.is_set():
            return 'cancelled'
        return 'deadline' if remaining_ms < run_ms else 'done'

    def _confirm(
        self, request: Request, entry: LedgerEntry, slot: Slot, outcome: str
    ) -> None:
        if outcome != 'killed':
            self.clock.sleep_ms(self._confirm_ms)
        self._finish(request, entry, slot, outcome)

    def _finish(
        self, request: Request, entry: LedgerEntry, slot: Slot, outcome: str
    ) -> None:
        if not request.stream:
            self.busy -= 1
        self.ledger.finish(entry, self.clock.now_ms(), outcome)
        slot.release()


def answer_content(identifier: str, size: int) -> bytes:
    """Body of the answer of a virtual target to a request."""
    head = f'ran {identifier};'.encode()
    return head + b''.join(picture(size, len(identifier)))


def _unfinished(run_outcome: str) -> Outcome:
    reason = {
        'killed': Reason.ANSWER_LOST,
        'cancelled': Reason.CANCELLED,
        'deadline': Reason.DEADLINE_PASSED,
    }[run_outcome]
    return Outcome.unknown(reason, run_outcome)


def _answer(query: dict[str, str], answer: SingleAnswer) -> Outcome:
    fault = query.get('fault')
    lost = Outcome.unknown(Reason.ANSWER_LOST, 'lost')
    if fault == 'lost':
        return lost
    content = answer_content(query['id'], int(query.get('bytes', '0')))
    end = len(content) // 2 if fault == 'cut' else len(content)
    try:
        answer.head(200, [('content-length', str(len(content)))])
        for offset in range(0, end, _CHUNK_BYTES):
            answer.chunk(content[offset : min(offset + _CHUNK_BYTES, end)])
    except ClientGoneError:
        return Outcome.unknown(Reason.CANCELLED, 'cancelled')
    if fault == 'cut':
        return lost
    answer.end()
    return Outcome.answered()
