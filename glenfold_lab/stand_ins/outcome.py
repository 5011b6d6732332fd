"""Builds the result of one history on sockets from the records of all its stand-ins."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from glenfold_lab.checker import Checker
from glenfold_lab.checker.gaps import Gap, Observer, ObserverGaps
from glenfold_lab.measures import Measures
from glenfold_lab.observe import Record, Watcher, Watchers, replay
from glenfold_lab.results import Happened, RunResult, Series, Verdict
from glenfold_lab.spec import Scenario
from glenfold_lab.stand_ins.lateness import MAX_P99_MS, named_gaps, percentile
from glenfold_lab.stand_ins.machine_clock import SECOND_US
from glenfold_lab.stand_ins.reconciler import SLACK_US
from glenfold_lab.stand_ins.script import Script
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.service import figures
from glenfold_lab.stand_ins.worker import Report

MAX_VERDICTS = 100
LONGEST_GAP = "observer_gap_ms"  # The name of the observers' longest gap among the costs of a run.


@dataclass(slots=True)
class Outcome:
    """The reports of one history.

    `start` and `end` are on the machine's clock. `seen` has the records of the process that controls the
    relays, and `gaps` the times in which its event loop did not run.
    """

    script: Script
    seed: int
    start: int
    end: int
    reports: Sequence[Report]
    seen: Seen
    gaps: Sequence[Gap]

    @property
    def _scenario(self) -> Scenario:
        return self.script.scenario

    def all_records(self) -> list[Record]:
        return [*self.seen.records, *(record for report in self.reports for record in report.records)]

    def result(
        self,
        records: list[Record],
        revision: str,
        happened: Sequence[Happened],
        cost: dict[str, float],
        watchers: Sequence[Watcher] = (),
    ) -> RunResult:
        """Returns the result for the reconciled `records`, which `watchers` receive too.

        `happened` has the events that are not in the script.
        """
        scenario, script = self._scenario, self.script
        checker = Checker(scenario.rules, SLACK_US, MAX_VERDICTS, self.start, ObserverGaps(self._observers()))
        measures = Measures(
            [kind.name for kind in scenario.classes],
            self.start,
            self.start + round(scenario.warm_up_s * SECOND_US),
        )
        watcher = Watchers(checker, measures, *watchers)
        replay(records, watcher)
        watcher.finish(self.end)
        verdicts = tuple(
            sorted((*checker.verdicts(), *self._fault_verdicts()), key=lambda verdict: verdict.at_us)
        )
        return RunResult(
            scenario=scenario.name,
            seed=self.seed,
            revision=revision,
            length_us=script.length,
            figures=self._figures(measures, records, verdicts, checker.left_out),
            answers=measures.answers(),
            set_up=measures.set_up(),
            series=self._series() | measures.series(),
            server_load={
                host: Series(SECOND_US, tuple(loads), host)
                for report in self.reports
                for host, loads in sorted(report.loads.items())
            },
            verdicts=verdicts,
            verdicts_left_out=checker.left_out,
            happened=tuple(sorted([*script.happened, *happened], key=lambda event: event.at_us)),
            cost=cost | self._gap_cost(),
            guards_against=" ".join(scenario.guards_against.split()),
        )

    def _fault_verdicts(self) -> list[Verdict]:
        """Returns verdicts on faults of relays that no rule of the platform covers."""
        faults = [*self.seen.faults, *(fault for report in self.reports for fault in report.faults)]
        return [
            Verdict("protocol", at - self.start, None, None, relay, (text,))
            for at, relay, text in faults
            if at <= self.end
        ]

    def _observers(self) -> list[Observer]:
        """Returns the processes that recorded the observations, with their gaps."""
        named = named_gaps(self.gaps, self.seen.blocking_calls.kept)
        workers = [Observer(report.records, report.gaps) for report in self.reports]
        return [Observer(self.seen.records, named), *workers]

    def _gap_cost(self) -> dict[str, float]:
        """Returns the longest gap of all observers, and the longest in each named blocking call, in ms."""
        gaps = [gap for observer in self._observers() for gap in observer.gaps]
        cost = {LONGEST_GAP: max((gap.length_us / 1000 for gap in gaps), default=0.0)}
        for gap in gaps:
            if gap.call:
                name = f"{LONGEST_GAP} in {gap.call}"
                cost[name] = max(cost.get(name, 0.0), gap.length_us / 1000)
        return cost

    def _figures(
        self, measures: Measures, records: list[Record], verdicts: Sequence[Verdict], left_out: int
    ) -> dict[str, float]:
        wanted, served = self._clients_seconds()
        kinds = [kind.name for kind in self._scenario.classes]
        late = [ms for report in self.reports for ms in report.late_ms]
        worst = max(percentile(report.late_ms, 99) for report in self.reports)
        taken = sum(name == "taken" for name, _ in records)
        sent = sum(name == "sent" for name, _ in records)
        return (
            figures(wanted, served, kinds, round(self._scenario.warm_up_s))
            | measures.figures()
            | {
                "clients": float(sum(report.clients for report in self.reports)),
                "requests": float(taken),
                "attempts_per_request": sent / max(1, taken),
                "refused": float(measures.answers()["busy"]),
                "rules_broken": float(sum(not verdict.undecided for verdict in verdicts) + left_out),
                "undecided": float(sum(verdict.undecided for verdict in verdicts)),
                "late_p99_ms": round(worst, 3),
                "late_most_ms": round(max(late, default=0.0), 3),
                "late": float(worst > MAX_P99_MS),
            }
        )

    def _clients_seconds(self) -> tuple[NDArray[np.float64], NDArray[np.float64]]:
        wanted = [report.wanted for report in self.reports if report.wanted is not None]
        served = [report.served for report in self.reports if report.served is not None]
        return np.sum(wanted, axis=0), np.sum(served, axis=0)

    def _series(self) -> dict[str, Series]:
        """Returns series by second: the share of wanted connections that was served, and both counts."""
        wanted, served = (table.sum(axis=0) for table in self._clients_seconds())
        share = np.divide(served, wanted, out=np.ones_like(wanted), where=wanted > 0)
        return {
            "service": Series(SECOND_US, tuple(np.minimum(share, 1).round(6).tolist()), "service"),
            "wanted": Series(SECOND_US, tuple(wanted.round(3).tolist()), "connections wanted"),
            "connections": Series(SECOND_US, tuple(served.round(3).tolist()), "connections served"),
        }
