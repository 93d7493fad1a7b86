"""Recorded events of nodes and of the configuration."""

from anvilthread.reports.trace_event import TraceEvent


class NodeStarted(TraceEvent, frozen=True, tag='node_started'):
    """A process has started."""


class NodeStopped(TraceEvent, frozen=True, tag='node_stopped'):
    """A process has ended.

    Attributes:
        planned: False if it was killed or its VM failed.
    """

    planned: bool


class StopStarted(TraceEvent, frozen=True, tag='stop_started'):
    """A process has begun its graceful shutdown."""


class DrainStarted(TraceEvent, frozen=True, tag='drain_started'):
    """An agent has begun to drain."""


class WorkStarted(TraceEvent, frozen=True, tag='work_started'):
    """An agent has accepted new work.

    Attributes:
        work: Type of the work, for example ``connection`` or ``request``.
    """

    work: str


class ConfigurationAccepted(
    TraceEvent, frozen=True, tag='configuration_accepted'
):
    """The store has accepted a revision.

    Attributes:
        revision: Number of the revision.
    """

    revision: int


class ConfigurationInForce(
    TraceEvent, frozen=True, tag='configuration_in_force'
):
    """A node has put a revision in force.

    Attributes:
        revision: Number of the revision.
    """

    revision: int
