"""Timeouts of flows that balancers and agents share."""

from typing import Final

#: Retention of a closed flow, for late packets. The longest retransmission
#: interval of clients and targets is 1.6 s.
CLOSED_MS: Final = 3000
