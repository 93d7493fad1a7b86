"""An in-memory agent of a placement trial."""

from collections import Counter

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.routing.admission_bound import AdmissionBound
from anvilthread.routing.first_packet_action import FirstPacketAction
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.slow_start import SlowStart


class TrialAgent:
    """Counts its connections and reports them, correctly or not.

    Args:
        service: Number of the service.
        address: Data address.
        slots: Slots of the target.
        clock: The trial's clock.
        warm_up_ms: Duration of the slow start.
    """

    def __init__(
        self,
        *,
        service: int,
        address: Address,
        slots: int,
        clock: Clock,
        warm_up_ms: int = 0,
    ) -> None:
        self.service = service
        self.address = address
        self.slots = slots
        self.alive = True
        self.draining = False
        self.silent = False
        #: Gauges and counters that are reported as zero.
        self.zeroed: tuple[str, ...] = ()
        #: Share of its connections that it reports.
        self.reported_share: float = 1
        self.open: set[int] = set()
        self.bound = AdmissionBound(clock=clock, slots=slots)
        self._slow_start = SlowStart(clock=clock, duration_ms=warm_up_ms)
        self._sequence = 0
        self._accepted = 0
        self._received: Counter[Address] = Counter()

    @property
    def cold(self) -> bool:
        """Whether the target is in its slow start."""
        return self._slow_start.warmth_percent < 100

    def admit(self, balancer: Address, *, has_alternate: bool) -> bool:
        """Decides on a first packet; returns False if it is passed on."""
        self._received[balancer] += 1
        action = self.bound.decide(
            connections=len(self.open),
            hops=0,
            has_alternate=has_alternate,
            draining=self.draining,
            warmth_percent=self._slow_start.warmth_percent,
        )
        return action is FirstPacketAction.ACCEPT

    def accept_connection(self, connection: int) -> None:
        """Opens a connection."""
        self._accepted += 1
        self.open.add(connection)

    def report(self, receiver: Address) -> LoadReport:
        """Builds the next report to a balancer or peer."""
        self._sequence += 1
        fields = {
            'connections': int(len(self.open) * self.reported_share),
            'accepted': self._accepted,
            'placed': self._received.total(),
            'received': self._received[receiver],
        }
        fields.update(dict.fromkeys(self.zeroed, 0))
        return LoadReport(
            service=self.service,
            agent=self.address,
            incarnation=1,
            sequence=self._sequence,
            slots=self.slots,
            warmth_percent=self._slow_start.warmth_percent,
            draining=self.draining,
            **fields,
        )
