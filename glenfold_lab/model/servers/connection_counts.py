"""Counts of standing connections at each server, by the relay's zone, class and scheme."""

from array import array

import numpy as np
from numpy.typing import NDArray


class ConnectionCounts:
    """Counts that change with each connection and are read as one table at each tick."""

    def __init__(self, zones: int, classes: int, schemes: int) -> None:
        self._shape = zones, classes, max(1, schemes)  # Without schemes, all connections count as one scheme.
        self._each = zones * classes * self._shape[2]
        self._counts = array("q")

    def add_server(self) -> None:
        self._counts.extend([0] * self._each)

    def count(self, server: int, zone: int, request_class: int, scheme: int, change: int) -> None:
        _, classes, schemes = self._shape
        index = server * self._each + (zone * classes + request_class) * schemes + scheme
        self._counts[index] += change

    def table(self) -> NDArray[np.int64]:
        """Returns a copy, of shape (servers, zones, classes, schemes)."""
        return np.array(self._counts, dtype=np.int64).reshape(-1, *self._shape)
