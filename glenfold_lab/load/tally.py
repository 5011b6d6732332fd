"""Measurements of a load in bounded memory: histograms and counts, which add up over worker processes."""

from collections import Counter
from dataclasses import dataclass, field, fields
from typing import Generic, TypeVar

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from glenfold_lab.load.client import Answer, Answered, ClientEvent, ConnectionEnded, LineAnswered, LineSent
from glenfold_lab.results import Distribution

MAX_LATENCY_US = 600_000_000  # Longer latencies are recorded as this.
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)

Name = TypeVar("Name")


class Histogram:
    """A histogram of latencies in microseconds, precise to three significant digits."""

    def __init__(self) -> None:
        self._counts = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, us: int) -> None:
        self._counts.record_value(min(max(us, 0), MAX_LATENCY_US))

    def add(self, other: "Histogram") -> None:
        self._counts.add(other._counts)

    def at(self, percentile: float) -> int:
        return int(self._counts.get_value_at_percentile(percentile))

    def distribution(self) -> Distribution:
        counts = self._counts
        return Distribution(
            int(counts.get_total_count()),
            float(counts.get_mean_value()),
            {f"{percentile:g}": self.at(percentile) for percentile in QUANTILES},
        )

    def __getstate__(self) -> bytes:
        encoded: bytes = self._counts.encode()
        return encoded

    def __setstate__(self, encoded: bytes) -> None:
        self._counts = HdrHistogram.decode(encoded)


class Histograms(dict[Name, Histogram], Generic[Name]):
    """Histograms by name; each is created on its first use."""

    def __missing__(self, name: Name) -> Histogram:
        made = self[name] = Histogram()
        return made

    def add(self, other: "Histograms[Name]") -> None:
        for name, histogram in other.items():
            self[name].add(histogram)


@dataclass
class Tally:
    """The measurements of a load. Latencies count from the intended start or the intended time of a line.

    `answers` are latencies by kind of answer, `set_up` those of UP by class, and `windows` those of UP by the
    number of the window of the intended start. `started` counts the starts of each window. `lines` are round
    trips of lines. `late` and `lines_late` are how far the load itself ran behind its plan. `targets` counts
    answers by index of the target and kind, `partings` ended connections by reason. `no_room` counts starts
    skipped for lack of sockets or ports. `standing` counts the connections still up at the end.
    """

    answers: Histograms[str] = field(default_factory=Histograms)
    set_up: Histograms[str] = field(default_factory=Histograms)
    windows: Histograms[int] = field(default_factory=Histograms)
    lines: Histogram = field(default_factory=Histogram)
    late: Histogram = field(default_factory=Histogram)
    lines_late: Histogram = field(default_factory=Histogram)
    targets: Counter[tuple[int, str]] = field(default_factory=Counter)
    started: Counter[int] = field(default_factory=Counter)
    partings: Counter[str] = field(default_factory=Counter)
    lines_unanswered: int = 0
    no_room: int = 0
    standing: int = 0

    def add(self, other: "Tally") -> None:
        for field_info in fields(self):
            mine, theirs = getattr(self, field_info.name), getattr(other, field_info.name)
            if isinstance(mine, Counter):
                mine.update(theirs)
            elif isinstance(mine, int):
                setattr(self, field_info.name, mine + theirs)
            else:
                mine.add(theirs)


class ClientRecorder:
    """Records the events of one client in the tally."""

    def __init__(self, tally: Tally, request_class: str, target: int, window: int) -> None:
        self._tally = tally
        self._class = request_class
        self._target = target
        self._window = window

    def record_event(self, event: ClientEvent) -> None:
        match event:
            case Answered():
                self._record_answered(event)
            case LineAnswered(us):
                self._tally.lines.record(us)
            case LineSent(late_us):
                self._tally.lines_late.record(late_us)
            case ConnectionEnded(reason, unanswered):
                self._tally.partings[reason.value] += 1
                self._tally.lines_unanswered += unanswered

    def _record_answered(self, event: Answered) -> None:
        self._tally.answers[event.answer.value].record(event.us)
        self._tally.targets[self._target, event.answer.value] += 1
        if event.answer is Answer.UP:
            self._tally.set_up[self._class].record(event.us)
            self._tally.windows[self._window].record(event.us)
