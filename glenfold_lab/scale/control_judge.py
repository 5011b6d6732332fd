"""What hollow watchers got, held against the source's history: when each revision was in force, which ones
were lost or came twice, and what it cost in bytes. No I/O."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

import numpy

from glenfold_lab.scale.control_source import Revision
from glenfold_lab.scale.hollow_fleet import Collected
from glenfold_lab.scale.hollow_watcher import Delivery, WatcherLog

SECOND_US = 1e6

Seconds = numpy.ndarray[tuple[int], numpy.dtype[numpy.float64]]


@dataclass(frozen=True, slots=True)
class Outage:
    """Within these moments the source could not be reached by a group of watchers."""

    from_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class Latencies:
    """Seconds from the moment at which the source had a change, or could be reached again, until a watcher
    knew it; over all watchers and changes. 0 without any."""

    count: int
    p50_s: float
    p99_s: float
    max_s: float


@dataclass(slots=True)
class Judgement:
    """Of one play. `lost`: revisions that a watcher passed over or did not reach by the end, summed over all
    watchers; `doubled`: lines that told a watcher what it knew; `unknown`: lines with a revision that the
    source never had; `disagreeing`: watchers that hold another list than the source at the end. Bytes are a
    watcher's, a second; `most_bytes` in its worst second. `turn_s`: the longest turn of the
    watchers' own loops."""

    watchers: int
    revisions: int
    in_force: Latencies
    drains_in_force: Latencies
    lost: int = 0
    doubled: int = 0
    unknown: int = 0
    disagreeing: int = 0
    whole_lists: int = 0
    empty_lines: int = 0
    drains_heard: int = 0
    bytes_read: int = 0
    bytes_mean: float = 0.0
    bytes_worst: float = 0.0
    most_bytes: int = 0
    connects: int = 0
    refused: int = 0
    faults: dict[str, int] = field(default_factory=dict)
    turn_s: float = 0.0
    fleet_cpu_s: float = 0.0

    @property
    def sound(self) -> bool:
        """Nothing lost, doubled or made up."""
        return not (self.lost or self.doubled or self.unknown or self.disagreeing)


@dataclass(frozen=True, slots=True)
class _Verdict:
    lost: frozenset[int]
    doubled: bool
    unknown: bool


class Judge:
    """`history`: all of the source, from its first revision on. `began_us`, `ended_us`: of the play; the
    revisions that the source had in it are judged."""

    def __init__(
        self,
        history: Sequence[Revision],
        began_us: int,
        ended_us: int,
        outages: Mapping[str, Outage] | None = None,
    ) -> None:
        self._history = {revision.number: revision for revision in history}
        self._last = history[-1]
        self._played = [one for one in history if began_us <= one.at_us <= ended_us]
        self._length_s = (ended_us - began_us) / SECOND_US
        self._outages = outages or {}

    def judge(self, collected: Sequence[Collected]) -> Judgement:
        waits: list[Seconds] = []
        watchers = sum(len(one.logs) for one in collected)
        result = Judgement(watchers, len(self._played), _latencies([]), _latencies([]))
        for one in collected:
            verdicts = [self._verdict(delivery) for delivery in one.deliveries]
            for log, group in zip(one.logs, one.groups, strict=True):
                self._count(result, log, one.deliveries, verdicts)
                waits.append(self._waits(log, group, one.deliveries, verdicts))
            result.turn_s = max(result.turn_s, one.turn_s)
            result.fleet_cpu_s += one.cpu_s
        logs = [log for one in collected for log in one.logs]
        self._add_bytes(result, logs)
        result.in_force = _latencies(waits)
        drains = numpy.array([revision.drains > 0 for revision in self._played], dtype=bool)
        result.drains_in_force = _latencies([each[drains] for each in waits])
        return result

    # ---- one delivery ----

    def _verdict(self, delivery: Delivery) -> _Verdict:
        if delivery.revision not in self._history:
            return _Verdict(frozenset(), False, True)
        if delivery.whole:
            return _Verdict(frozenset(), False, False)
        if delivery.revision < delivery.known:
            return _Verdict(frozenset(), True, False)
        newest: dict[str, Revision] = {}
        known_stamps: dict[str, int] = {}
        for revision in self._between(delivery.known, delivery.revision):
            newest.update(dict.fromkeys(revision.stamps, revision))
            known_stamps = revision.before | known_stamps
        # Who knows an entry already need not be told of it by a revision that leaves it as it was.
        lost = {
            revision.number
            for host, revision in newest.items()
            if delivery.stamps.get(host, known_stamps[host]) != revision.stamps[host]
        }
        again = any(host not in newest for host in delivery.stamps)
        return _Verdict(frozenset(lost), again, False)

    def _between(self, known: int, revision: int) -> Iterator[Revision]:
        """The revisions after the one up to the other."""
        return (self._history[n] for n in range(known + 1, revision + 1) if n in self._history)

    # ---- one watcher ----

    def _count(
        self,
        result: Judgement,
        log: WatcherLog,
        deliveries: Sequence[Delivery],
        verdicts: Sequence[_Verdict],
    ) -> None:
        for number, times in Counter(log.deliveries).items():
            verdict = verdicts[number]
            result.lost += times * len(verdict.lost)
            result.doubled += times * verdict.doubled
            result.unknown += times * verdict.unknown
            result.whole_lists += times * deliveries[number].whole
        result.lost += sum(1 for _ in self._between(log.final_revision, self._last.number))
        current = log.final_revision == self._last.number
        result.disagreeing += current and log.final_digest != self._last.digest
        result.drains_heard += log.drains
        result.empty_lines += log.empty_lines
        result.connects += log.connects
        result.refused += log.refused
        for words, times in log.faults.items():
            result.faults[words] = result.faults.get(words, 0) + times

    def _waits(
        self,
        log: WatcherLog,
        group: str,
        deliveries: Sequence[Delivery],
        verdicts: Sequence[_Verdict],
    ) -> Seconds:
        """Seconds until each revision of the play was in force here; not a number if it was lost."""
        known = numpy.array([deliveries[number].revision for number in log.deliveries], dtype=numpy.int64)
        numbers = [revision.number for revision in self._played]
        lost = {each for number in set(log.deliveries) for each in verdicts[number].lost}
        at_us = numpy.append(numpy.array(log.at_us, dtype=numpy.float64), numpy.nan)
        found = at_us[numpy.searchsorted(numpy.maximum.accumulate(known), numbers)] if numbers else at_us[:0]
        from_us = numpy.array([self._reachable_us(one.at_us, group) for one in self._played], dtype=float)
        waits = (found - from_us) / SECOND_US
        waits[[number in lost for number in numbers]] = numpy.nan
        in_force: Seconds = numpy.maximum(waits, 0.0)
        return in_force

    def _reachable_us(self, at_us: int, group: str) -> int:
        outage = self._outages.get(group)
        within = outage is not None and outage.from_us <= at_us < outage.until_us
        return outage.until_us if outage is not None and within else at_us

    def _add_bytes(self, result: Judgement, logs: Sequence[WatcherLog]) -> None:
        read = [log.bytes_read for log in logs]
        result.bytes_read = sum(read)
        result.bytes_mean = sum(read) / max(1, len(read)) / self._length_s
        result.bytes_worst = max(read, default=0) / self._length_s
        result.most_bytes = max((log.most_in_window for log in logs), default=0)


def _latencies(waits: Sequence[Seconds]) -> Latencies:
    known = numpy.concatenate(waits) if waits else numpy.empty(0)
    known = known[~numpy.isnan(known)]
    if not known.size:
        return Latencies(0, 0.0, 0.0, 0.0)
    p50, p99, most = (float(value) for value in numpy.quantile(known, (0.5, 0.99, 1.0), method="higher"))
    return Latencies(int(known.size), p50, p99, most)
