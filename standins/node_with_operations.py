"""A node that executes operators' requests, with fixed answers."""

from collections.abc import Sequence

from result import Err, Ok, Result

from anvilthread.operation import (
    NodeStatus,
    OperationRefusedError,
    TargetStatus,
)


class NodeWithOperations:
    """An agent that accepts a drain and refuses to undo it."""

    def __init__(self) -> None:
        self.drained_by: list[str] = []
        self.known_targets: list[TargetStatus] = []

    def status(self) -> NodeStatus:
        """The status, draining after the first drain."""
        return NodeStatus(
            name='agent-1',
            role='agent',
            site='kgn-a',
            state='draining' if self.drained_by else 'alive',
            control='10.1.0.21:7946',
            request='10.1.0.21:7947',
            incarnation=1_700_000_000,
            uptime_ms=61_500,
            revision=12,
            members={'alive': 9, 'suspect': 1},
            connections=1998,
            busy=1,
            waiting=3,
            slots=1,
            active_keys={'connection_id': 0, 'datagram': 1},
            unmet=('configuration',),
        )

    def targets(self) -> Sequence[TargetStatus]:
        """Every known target."""
        return self.known_targets

    def drain(self, operator: str) -> Result[NodeStatus, OperationRefusedError]:
        """Starts or repeats the drain."""
        self.drained_by.append(operator)
        return Ok(self.status())

    def undrain(
        self, operator: str
    ) -> Result[NodeStatus, OperationRefusedError]:
        """Refuses."""
        return Err(
            OperationRefusedError(
                reason='a drain cannot be undone', remedy='start a new agent'
            )
        )


def target_status(
    number: int, *, report_age_ms: int | None = None
) -> TargetStatus:
    """A target with addresses made from a number below 2,560."""
    host = f'10.1.{number % 10}.{number // 10}'
    return TargetStatus(
        control=f'{host}:7946',
        request=f'{host}:7947',
        site='kgn-a',
        services=('depot feed', 'catalogue'),
        state='alive',
        slots=1,
        report_age_ms=report_age_ms,
    )
