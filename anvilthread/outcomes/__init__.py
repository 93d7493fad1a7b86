"""Exactly one outcome for every request."""

from anvilthread.outcomes.body import Body
from anvilthread.outcomes.bytes_body import BytesBody
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.outcome_kind import OutcomeKind
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Headers, Request
from anvilthread.outcomes.request_classifier import RequestClassifier
from anvilthread.outcomes.request_handler import RequestHandler
from anvilthread.outcomes.responder import ClientGoneError, Responder
from anvilthread.outcomes.runner import Runner
from anvilthread.outcomes.service_rules import ServiceRules
from anvilthread.outcomes.single_answer import SecondAnswerError, SingleAnswer

__all__ = (
    'Body',
    'BytesBody',
    'ClientGoneError',
    'Headers',
    'Outcome',
    'OutcomeKind',
    'Reason',
    'Request',
    'RequestClassifier',
    'RequestHandler',
    'Responder',
    'Runner',
    'SecondAnswerError',
    'ServiceRules',
    'SingleAnswer',
)
