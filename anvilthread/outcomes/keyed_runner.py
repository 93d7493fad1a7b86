"""Runs requests with an execution key at most once."""

import hashlib
from typing import Final

import gevent
import msgspec
from gevent.event import Event

from anvilthread.clock import Clock
from anvilthread.outcomes import key_refusals
from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.event_link import EventLink
from anvilthread.outcomes.execution_key import ExecutionKey
from anvilthread.outcomes.execution_record import ExecutionRecord
from anvilthread.outcomes.execution_table import ExecutionTable
from anvilthread.outcomes.kept_answer import KeptAnswer
from anvilthread.outcomes.key_sealer import KeySealer
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.outcome_kind import OutcomeKind
from anvilthread.outcomes.owner_link import OwnerLink
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.responder import ClientGoneError
from anvilthread.outcomes.runner import Runner
from anvilthread.outcomes.single_answer import SingleAnswer

_READ_BYTES: Final = 65_536


class KeyedRunner:
    """Decides whether a request with an execution key runs.

    Requests without a key go to the next runner unchanged.

    Args:
        clock: Clock of deadlines and expiry.
        identity: This agent.
        sealer: Opens the keys.
        table: Records of the used keys of this agent.
        runner: Runs requests that have not run yet.
        owners: Forwards requests to the agents that issued their keys.
    """

    __slots__ = (
        '_clock',
        '_identity',
        '_owners',
        '_runner',
        '_sealer',
        '_table',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        identity: AgentIdentity,
        sealer: KeySealer,
        table: ExecutionTable,
        runner: Runner,
        owners: OwnerLink,
    ) -> None:
        self._clock = clock
        self._identity = identity
        self._sealer = sealer
        self._table = table
        self._runner = runner
        self._owners = owners

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Runs the request, replays its answer or forwards it to the owner."""
        if request.execution_key is None:
            return self._runner.run(request, answer)
        key = self._sealer.open(request.execution_key)
        if key is None:
            return self._refuse_unopened(request.execution_key)
        if key.service != request.service:
            return key_refusals.other_service()
        if key.owner != self._identity.address:
            return self._owners.forward(key.owner, request, answer)
        if key.incarnation != self._identity.incarnation:
            return key_refusals.owner_gone()
        return self._decide(key, request, answer)

    def _refuse_unopened(self, text: str) -> Outcome:
        if self._sealer.lacks_sealing_key(text):
            return key_refusals.sealing_key_missing()
        return key_refusals.not_issued()

    def _decide(
        self, key: ExecutionKey, request: Request, answer: SingleAnswer
    ) -> Outcome:
        # No other greenlet runs between the look-up and the new record.
        record = self._table.find(key.number)
        digest = _digest(request)
        if record is None:
            return self._run_first(key, digest, request, answer)
        if record.digest != digest:
            return key_refusals.other_request()
        return self._answer_repeat(record, request, answer)

    def _run_first(
        self,
        key: ExecutionKey,
        digest: bytes,
        request: Request,
        answer: SingleAnswer,
    ) -> Outcome:
        if not self._table.retains(key.expires_ms):
            return key_refusals.record_dropped()
        if key.expires_ms <= self._clock.now_ms():
            return key_refusals.expired()
        record = ExecutionRecord(
            number=key.number, digest=digest, expires_ms=key.expires_ms
        )
        if not self._table.add(record):
            return key_refusals.table_full()
        task = gevent.spawn(self._execute, record, request, answer)
        return task.get()

    def _execute(
        self, record: ExecutionRecord, request: Request, answer: SingleAnswer
    ) -> Outcome:
        kept = KeptAnswer(answer=answer, limit=self._table.answer_limit)
        # The run continues after this client disconnects: its repeat arrives
        # on another connection and expects the answer. A stream ends only
        # when the client cancels it.
        cancelled = request.cancelled if request.stream else Event()
        detached = msgspec.structs.replace(request, cancelled=cancelled)
        try:
            outcome = self._runner.run(detached, SingleAnswer(responder=kept))
        except BaseException:
            self._table.finish(record, key_refusals.answer_not_kept(), kept)
            raise
        self._table.finish(record, outcome, kept)
        return outcome

    def _answer_repeat(
        self, record: ExecutionRecord, request: Request, answer: SingleAnswer
    ) -> Outcome:
        wake = Event()
        left_ms = request.deadline_ms - self._clock.now_ms()
        with EventLink(sources=[record.done, request.cancelled], target=wake):
            self._clock.wait(wake, max(left_ms, 0))
        outcome = record.outcome
        if outcome is None:
            return key_refusals.still_running()
        if outcome.kind is not OutcomeKind.ANSWERED:
            return outcome
        return _replay(record, answer)


def _replay(record: ExecutionRecord, answer: SingleAnswer) -> Outcome:
    if record.kept is None:
        return key_refusals.answer_not_kept()
    try:
        record.kept.replay(answer)
    except ClientGoneError:
        return Outcome.unknown(
            Reason.CANCELLED, 'the client left while it got the answer'
        )
    return Outcome.answered()


def _digest(request: Request) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    for text in (request.method, request.path):
        digest.update(len(text).to_bytes(4))
        digest.update(text.encode())
    request.body.rewind()
    while part := request.body.read(_READ_BYTES):
        digest.update(part)
    request.body.rewind()
    return digest.digest()
