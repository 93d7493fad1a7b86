"""A limit on the load caused by retries."""


class RetryBudget:
    """Token bucket that allows a fixed ratio of retries to requests.

    The bucket starts empty, so that the ratio holds at any time since the
    start. The number of tokens is bounded, because an hour without failures
    must not allow a large burst of retries afterwards.

    Args:
        ratio: Retries per request.
        burst: Maximum number of accumulated retries.
    """

    __slots__ = ('_burst', '_ratio', '_requests', '_retries', '_tokens')

    def __init__(self, *, ratio: float, burst: int = 10) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens: float = 0
        self._requests = 0
        self._retries = 0

    @property
    def requests(self) -> int:
        """Number of counted requests."""
        return self._requests

    @property
    def retries(self) -> int:
        """Number of granted retries."""
        return self._retries

    def use_ratio(self, ratio: float) -> None:
        """Replaces the ratio of retries to requests."""
        self._ratio = ratio

    def record(self) -> None:
        """Counts a request."""
        self._requests += 1
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Consumes one retry; returns False if the budget does not allow it."""
        # Because of rounding, sums of a ratio such as 0.1 may stay just below 1.
        if self._tokens < 1 - 1e-9:
            return False
        self._tokens -= 1
        self._retries += 1
        return True
