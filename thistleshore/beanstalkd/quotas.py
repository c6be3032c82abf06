"""Memory that all connections of a front share, without one of them taking what the others need."""

from __future__ import annotations


class SharedQuota:
    """So many bytes for all connections together."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.taken = 0

    @property
    def free(self) -> int:
        return self.limit - self.taken


class Share:
    """What one connection holds of a quota: beyond its own minimum it gets no more than what is left for all others.

    That is the dynamic threshold of shared buffers (Choudhury and Hahne, 1998), with a minimum so that a crowd which
    has taken all leaves each other connection what usual clients need.
    """

    def __init__(self, quota: SharedQuota, minimum: int) -> None:
        self._quota = quota
        self._minimum = minimum  # bytes that it may hold in any case
        self.held = 0  # bytes

    @property
    def has_room(self) -> bool:
        """Whether this connection may hold more."""
        return self.held < max(self._minimum, self._quota.free)

    def take(self, size: int) -> None:
        """Hold so many bytes more."""
        self.held += size
        self._quota.taken += size

    def give_back(self, size: int) -> None:
        """Hold so many bytes less."""
        self.held -= size
        self._quota.taken -= size
