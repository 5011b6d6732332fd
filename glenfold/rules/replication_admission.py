"""Admission of requests for whole lists at a replica, and delays before rejected ones are retried.

The module does no I/O and reads no clock. A whole list is some thousand times the size of a change. When all
children return at once, those that need a whole list are admitted at a bounded rate, so that the watches of
the others are not disturbed.
"""

import random

from glenfold.rules.rate import RateLimit

MIN_RETRY_AFTER_S = 1  # The Retry-After header field counts in whole seconds.


class WholeListAdmission:
    """Admission of whole lists at a bounded rate.

    `bytes_per_s` is the rate of whole lists in the long run, and also the size of a burst. `max_concurrent`
    is the number of responses in progress at once. `max_children` is the largest possible number of children;
    no burst of retries lasts longer than all of them need. `rng` is the random generator for jitter.
    """

    def __init__(
        self, bytes_per_s: float, max_concurrent: int, max_children: int, rng: random.Random
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._max_concurrent = max_concurrent
        self._max_children = max_children
        self._rng = rng
        self._rate = RateLimit(bytes_per_s, max(1, int(bytes_per_s)))
        self._waiting = 0  # Number of requests rejected since the burst began and not admitted yet.
        self._burst_until_s = float("-inf")
        self.in_progress = 0

    def admit(self, now_s: float, size: int) -> bool:
        """Returns whether a list of `size` bytes may be sent now; if so, `finished` has to be called."""
        if self.in_progress >= self._max_concurrent or self._rate.allow(now_s, size) is None:
            return False
        self.in_progress += 1
        self._waiting = max(0, self._waiting - 1)
        return True

    def finished(self) -> None:
        """Releases the slot of an admitted response that has ended."""
        self.in_progress -= 1

    def retry_after_s(self, now_s: float, size: int) -> int:
        """Returns the delay in seconds for a request that was not admitted.

        The delay is random within the time that all waiting children need together, so that they don't return
        at once.
        """
        if now_s > self._burst_until_s:
            self._waiting = 0
        self._waiting = min(self._max_children, self._waiting + 1)
        burst_s = self._waiting * size / self._bytes_per_s
        self._burst_until_s = max(self._burst_until_s, now_s + MIN_RETRY_AFTER_S + burst_s)
        return MIN_RETRY_AFTER_S + round(self._rng.uniform(0.0, burst_s))
