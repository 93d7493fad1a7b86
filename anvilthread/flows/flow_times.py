"""Times of flows that balancers and agents agree on."""

from typing import Final

#: Time for which a closed flow is remembered, for late packets: the longest
#: retransmission interval of the ends is 1.6 s.
CLOSED_MS: Final = 3000
