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
    """An edge with its target, driven by a clock and judged by a ledger.

    The path of a request chooses the identifier in the ledger (``id``), the
    time of the run (``ms``), the length of the answer (``bytes``) and a
    fault: ``refuse``, ``lost``, ``cut``.

    Args:
        clock: Clock of the runs.
        ledger: Record of the runs; several targets may share it.
        slots: Runs besides streams that the target allows; more are
            counted as excess.
        run_ms: Time of a run that names none.
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
        self._dead = Event()

    def kill(self) -> None:
        """Ends every run without an answer and refuses connections."""
        self.alive = False
        self._dead.set()

    def revive(self) -> None:
        """Takes connections again."""
        self.alive = True
        self._dead = Event()

    def run(
        self, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        """Runs a request in virtual time."""
        query = dict(parse_qsl(urlsplit(request.path).query))
        refused = self._refused(query)
        if refused is not None:
            slot.release()
            return refused
        entry = self._start(query['id'], request)
        run_ms = float(query.get('ms', self._run_ms()))
        left_ms = request.deadline_ms - self.clock.now_ms()
        ended = self._wait(
            request, run_ms if request.stream else left_ms, run_ms
        )
        if ended != 'done':
            gevent.spawn(self._confirm, request, entry, slot, ended)
            return _unfinished(ended)
        self._finish(request, entry, slot, ended)
        return _answer(query, answer)

    def _refused(self, query: dict[str, str]) -> Outcome | None:
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

    def _wait(self, request: Request, left_ms: float, run_ms: float) -> str:
        over = Event()
        dead = self._dead
        with EventLink(sources=[request.cancelled, dead], target=over):
            self.clock.wait(over, min(left_ms, run_ms))
        if dead.is_set():
            return 'killed'
        if request.cancelled.is_set():
            return 'cancelled'
        return 'deadline' if left_ms < run_ms else 'done'

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
    """Content that a virtual target answers a request with."""
    head = f'ran {identifier};'.encode()
    return head + b''.join(picture(size, len(identifier)))


def _unfinished(ended: str) -> Outcome:
    reason = {
        'killed': Reason.ANSWER_LOST,
        'cancelled': Reason.CANCELLED,
        'deadline': Reason.DEADLINE_PASSED,
    }[ended]
    return Outcome.unknown(reason, ended)


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
