"""How much of the connection time that clients wanted they were served, second by second."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.stand_ins.machine_clock import SECOND_US

Floats = NDArray[np.float64]


@dataclass(slots=True)
class SecondCounts:
    """What one process of stand-ins saw in one second.

    `answers` are counted by kind, `set_ups_us` are the set-up times of the connections answered UP, and
    `standing` is the number of standing connections at the end of the second.
    """

    second: int
    standing: int = 0
    new: int = 0
    lines: int = 0
    moves: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    set_ups_us: list[int] = field(default_factory=list)


class ServiceSeconds:
    """Client seconds by class and by second of the history.

    `wanted` counts the time for which clients wanted a connection, and `served` the time with a connection
    whose lines came back within the aim. Times are microseconds of one clock.
    """

    def __init__(self, classes: int, start: int, length_us: int) -> None:
        shape = classes, -(-length_us // SECOND_US)
        self.wanted: Floats = np.zeros(shape)
        self.served: Floats = np.zeros(shape)
        self._start = start
        self._end = start + length_us

    def add(self, table: Floats, request_class: int, begin: int, end: int) -> None:
        """Adds the period from `begin` to `end` to `table` (`wanted` or `served`), clipped to the history."""
        begin, end = max(begin, self._start) - self._start, min(end, self._end) - self._start
        while begin < end:
            second = begin // SECOND_US
            stop = min(end, (second + 1) * SECOND_US)
            table[request_class, second] += (stop - begin) / SECOND_US
            begin = stop


class ServicePeriod:
    """The time for which one standing connection serves its client, judged by its lines.

    A line that comes back late or never takes away the time from its sending to that of the next line that
    comes back in time. `until` is the time until which the client wants the connection.
    """

    def __init__(
        self, served: ServiceSeconds, request_class: int, aim_us: float, up_at: int, until: int
    ) -> None:
        self._served, self._class, self._aim, self._until = served, request_class, aim_us, until
        self._good_since: int | None = up_at
        self._sent_at: list[int] = []

    def line_sent(self, at: int) -> None:
        """Notes that the client sent a line."""
        self._sent_at.append(at)

    def line_returned(self, now: int) -> None:
        """Notes that the oldest line awaiting its reply has come back."""
        at = self._sent_at.pop(0)
        if now - at > self._aim:
            self._close(at)
        elif self._good_since is None:
            self._good_since = at

    def end(self, now: int) -> None:
        """Ends the period, at the sending of the oldest unanswered line if that is late by now."""
        late = self._sent_at and now - self._sent_at[0] > self._aim
        self._close(self._sent_at[0] if late else now)

    def _close(self, at: int) -> None:
        if self._good_since is not None:
            self._served.add(self._served.served, self._class, self._good_since, min(at, self._until))
            self._good_since = None


def figures(
    wanted: Floats, served: Floats, classes: Sequence[str], warm_up: int, window: int = 10
) -> dict[str, float]:
    """Returns the shares of the wanted time that were served.

    `service` is the share overall, `worst_window` that of the worst `window` seconds, and `worst_class` that
    of the worst class; one more follows for each class. The first `warm_up` seconds do not count. A share is
    1 where nothing was wanted.
    """
    wanted, served = wanted[:, warm_up:], served[:, warm_up:]
    by_class = [
        _ratio(float(had.sum()), float(asked.sum())) for had, asked in zip(served, wanted, strict=True)
    ]
    length = min(window, wanted.shape[1])
    had, asked = (
        np.convolve(table.sum(axis=0), np.ones(length), "valid") if length else np.ones(1)
        for table in (served, wanted)
    )
    shares = {
        "service": _ratio(float(served.sum()), float(wanted.sum())),
        "worst_window": min(
            _ratio(float(served_s), float(wanted_s)) for served_s, wanted_s in zip(had, asked, strict=True)
        ),
        "worst_class": min(by_class),
    }
    return shares | {f"service {name}": share for name, share in zip(classes, by_class, strict=True)}


def _ratio(had: float, asked: float) -> float:
    return min(1.0, had / asked) if asked > 0 else 1.0
