"""Classification of requests."""

from collections.abc import Mapping, Sequence
from typing import Final

from gevent.event import Event
from result import Err, Ok, Result

from anvilthread.clock import Clock
from anvilthread.outcomes.body import Body
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.reason import Reason
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.service_rules import ServiceRules

#: Remaining time to the deadline, in whole milliseconds.
DEADLINE_HEADER: Final = 'anvilthread-deadline-ms'

#: Longest time to the deadline that a client may set.
MAX_DEADLINE_MS: Final = 300_000

_KEY_HEADER: Final = 'idempotency-key'
_EVENT_STREAM: Final = 'text/event-stream'


class RequestClassifier:
    """Builds requests from the parts that a connection delivers.

    Args:
        clock: Clock of the deadlines.
        rules: Settings of every service by its number.
    """

    __slots__ = ('_clock', '_rules')

    def __init__(
        self, *, clock: Clock, rules: Mapping[int, ServiceRules]
    ) -> None:
        self._clock = clock
        self._rules = rules

    def classify(
        self,
        *,
        service: int,
        method: str,
        path: str,
        headers: Sequence[tuple[str, str]],
        body: Body,
        cancelled: Event,
    ) -> Result[Request, Outcome]:
        """Decides idempotence, stream, deadline and execution key.

        Args:
            service: Number of a service that has rules.
            method: HTTP method.
            path: Path with query.
            headers: Pairs of name and value, without pseudo-headers.
            body: Source of the body.
            cancelled: Event that the agent sets when the client cancels or
                disconnects.

        Returns:
            The request, or the outcome that refuses it.
        """
        rules = self._rules[service]
        lowered = tuple((name.lower(), text) for name, text in headers)
        by_name = dict(lowered)
        allowed_ms = _allowed_ms(by_name.get(DEADLINE_HEADER), rules)
        if allowed_ms is None:
            return Err(_malformed_deadline())
        return Ok(
            Request(
                method=method.upper(),
                path=path,
                headers=lowered,
                body=body,
                service=service,
                deadline_ms=self._clock.now_ms() + allowed_ms,
                cancelled=cancelled,
                idempotent=rules.is_idempotent(
                    method.upper(), _without_query(path)
                ),
                stream=_is_stream(path, by_name, rules),
                execution_key=by_name.get(_KEY_HEADER),
            )
        )


def _allowed_ms(text: str | None, rules: ServiceRules) -> int | None:
    if text is None:
        return rules.deadline_ms
    if not (text.isascii() and text.isdecimal()):
        return None
    return min(int(text), MAX_DEADLINE_MS)


def _is_stream(
    path: str, by_name: Mapping[str, str], rules: ServiceRules
) -> bool:
    accepts_events = _EVENT_STREAM in by_name.get('accept', '').lower()
    return accepts_events or not rules.takes_slot(_without_query(path))


def _without_query(path: str) -> str:
    return path.partition('?')[0]


def _malformed_deadline() -> Outcome:
    return Outcome.not_run(
        Reason.DEADLINE_MALFORMED,
        f'{DEADLINE_HEADER} is not a whole number of milliseconds; '
        'send the remaining time, for example 1500',
    )
