"""Runs requests that other agents hand over."""

import msgspec
from gevent.event import Event
from result import Err, Ok, Result

from anvilthread.admission import Admission, Dispatcher, Slot, refusals
from anvilthread.clock import Clock
from anvilthread.outcomes import key_refusals
from anvilthread.outcomes.body_buffer import BodyBuffer
from anvilthread.outcomes.event_link import EventLink
from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.channel_body import ChannelBody
from anvilthread.outcomes.handover.channel_responder import ChannelResponder
from anvilthread.outcomes.handover.handover_settings import HandoverSettings
from anvilthread.outcomes.handover.messages import (
    Failed,
    Offer,
    Refused,
    Reserved,
    Run,
)
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.outcome_kind import OutcomeKind
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.responder import ClientGoneError
from anvilthread.outcomes.runner import Runner
from anvilthread.outcomes.single_answer import SingleAnswer


class HandoverServer:
    """Reserves places for other agents and runs requests in them.

    Args:
        clock: Clock of deadlines and reservations.
        settings: Limits.
        admission: The local slots.
        dispatcher: Runs requests in reserved slots.
        owner: Decides about requests with execution keys of this agent.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        settings: HandoverSettings,
        admission: Admission,
        dispatcher: Dispatcher,
        owner: Runner,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._admission = admission
        self._dispatcher = dispatcher
        self._owner = owner
        self._bodies = BodyBuffer(
            body_limit=settings.body_bytes, total_limit=settings.held_bytes
        )

    def serve(self, channel: Channel, offer: Offer) -> None:
        """Handles one offer from its arrival to the end of the run."""
        deadline_ms = self._clock.now_ms() + offer.left_ms
        try:
            self._serve(channel, offer, deadline_ms)
        except (ChannelLostError, ClientGoneError):
            # The offering agent has reported the outcome itself.
            channel.close()
        except BaseException:
            channel.close()
            raise
        channel.close()

    def _serve(self, channel: Channel, offer: Offer, deadline_ms: int) -> None:
        reserved = self._reserve(channel, offer, deadline_ms)
        if isinstance(reserved, Err):
            channel.put(Refused(reserved.err_value))
            return
        slot = reserved.ok_value
        try:
            run = self._await_run(channel)
        except BaseException:
            slot.release()
            raise
        if run is None:
            slot.release()
            channel.put(Failed(_expired(offer)))
            return
        request = self._request(channel, run, deadline_ms)
        answer = SingleAnswer(
            responder=ChannelResponder(
                channel=channel, chunk_bytes=self._settings.chunk_bytes
            )
        )
        outcome = self._run(offer, request, answer, slot)
        if outcome.kind is not OutcomeKind.ANSWERED:
            answer.fail(outcome)

    def _reserve(
        self, channel: Channel, offer: Offer, deadline_ms: int
    ) -> Result[Slot, Outcome]:
        if offer.decide:
            # Only the run itself takes a slot, at this or at another agent.
            return Ok(Slot(on_release=_no_op))
        wake = Event()
        entered = self._admission.enter(
            deadline_ms=deadline_ms,
            stream=offer.stream,
            is_local=False,
            wake=wake,
        )
        if isinstance(entered, Err):
            return entered
        waiter = entered.ok_value
        with EventLink(sources=[channel.cancelled], target=wake):
            self._clock.wait(wake, offer.left_ms)
        if channel.cancelled.is_set():
            self._admission.leave(waiter)
            raise ChannelLostError
        if waiter.slot is None:
            self._admission.leave(waiter)
            return Err(waiter.refusal or refusals.deadline_passed())
        return Ok(waiter.slot)

    def _await_run(self, channel: Channel) -> Run | None:
        channel.put(Reserved())
        message = channel.get(self._settings.reservation_ms)
        return message if isinstance(message, Run) else None

    def _request(self, channel: Channel, run: Run, deadline_ms: int) -> Request:
        run_deadline_ms = self._clock.now_ms() + run.left_ms
        return Request(
            method=run.method,
            path=run.path,
            headers=run.headers,
            body=ChannelBody(channel=channel, length=run.body_length),
            service=run.service,
            deadline_ms=min(deadline_ms, run_deadline_ms),
            cancelled=channel.cancelled,
            idempotent=run.idempotent,
            stream=run.stream,
            execution_key=run.execution_key,
        )

    def _run(
        self, offer: Offer, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        if request.stream and request.execution_key is None:
            return self._dispatch(offer, request, answer, slot)
        # The request does not run before its whole body has arrived, so that
        # a missing body certainly means that it has not run.
        try:
            buffered = self._bodies.buffer(request.body)
        except BaseException:
            slot.release()
            raise
        if isinstance(buffered, Err):
            slot.release()
            return _outcome_without_run(offer, buffered.err_value)
        with buffered.ok_value as body:
            buffered_request = msgspec.structs.replace(request, body=body)
            return self._dispatch(offer, buffered_request, answer, slot)

    def _dispatch(
        self, offer: Offer, request: Request, answer: SingleAnswer, slot: Slot
    ) -> Outcome:
        if offer.decide:
            return self._owner.run(request, answer)
        return self._dispatcher.run_reserved(request, answer, slot)


def _no_op() -> None:
    """Releases nothing, because a decision holds no slot."""


def _expired(offer: Offer) -> Outcome:
    expired = Outcome.not_run(
        Reason.RESERVATION_EXPIRED,
        'the place at the other agent expired before the request arrived',
    )
    return _outcome_without_run(offer, expired)


def _outcome_without_run(offer: Offer, outcome: Outcome) -> Outcome:
    # Before the owner has decided, an earlier request with the same key may
    # have run.
    return key_refusals.owner_unreachable() if offer.decide else outcome
