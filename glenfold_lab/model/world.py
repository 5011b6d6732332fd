"""Builds one history of a scenario, plays it in virtual time and checks it from outside."""

import gc
import resource
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from glenfold_lab.checker import Checker
from glenfold_lab.measures import Measures
from glenfold_lab.model.actor_faults import ActorFaults
from glenfold_lab.model.anchors import shared_anchors
from glenfold_lab.model.clients import Clients
from glenfold_lab.model.front import Front
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.machinery import Machinery
from glenfold_lab.model.population import Population
from glenfold_lab.model.relay_hosts import RelayHosts
from glenfold_lab.model.relay_settings import Costs, make_settings
from glenfold_lab.model.relays import Relay, RelayContext
from glenfold_lab.observe import Watcher, Watchers
from glenfold_lab.results import RunResult
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams

PROGRESS_STEP_US = SECOND_US // 2  # Virtual time between two progress reports.
FINAL_ANSWER_MARGIN_US = (
    1_500_000  # The last requests are checked within this time after the longest deadline.
)
OVERLOADED = "fell_over"  # Recorded for a cold push server that failed under too many connections.

Progress = Callable[[float], None]


class Tally(Watcher):
    """Counts of requests and attempts over the whole history."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._zones: dict[int, int] = {}  # By number of the push server.
        self.taken_in = self.attempts = self.cross_zone_attempts = 0

    def taken(self, at: int, request: int, relay: int, deadline: int, request_class: int) -> None:
        self.taken_in += 1

    def sent(self, at: int, request: int, relay: int, server: int, first: int, goes_on: bool = False) -> None:
        self.attempts += 1
        zone = self._zones.get(server)
        if zone is None:
            machines = self._world.machinery.servers.fleet.machines
            self._zones = {machine.number: machine.zone for machine in machines}
            zone = self._zones[server]
        self.cross_zone_attempts += zone != self._world.machinery.network.zone_of(relay)

    def figures(self) -> dict[str, float]:
        """Returns the taken requests, the attempts per request and the share of cross-zone attempts."""
        return {
            "requests": float(self.taken_in),
            "attempts_per_request": self.attempts / max(1, self.taken_in),
            "cross_zone": self.cross_zone_attempts / max(1, self.attempts),
        }


class World:
    """All parts of one history, connected. `run` plays it once."""

    def __init__(self, scenario: Scenario, seed: int, watchers: Sequence[Watcher]) -> None:
        self.scenario, self.seed = scenario, seed
        self.kernel, self._streams = Kernel(), Streams(seed)
        start = self.kernel.start
        self.checker = Checker(scenario.rules, slack_us=0, start_us=start)
        self.measures = Measures(
            [kind.name for kind in scenario.classes],
            start_us=start,
            counted_from=start + round(scenario.warm_up_s * SECOND_US),
        )
        self.tally = Tally(self)
        self.watcher = Watchers(self.checker, self.measures, self.tally, *watchers)
        self.machinery = Machinery(scenario, self._streams, self.kernel, self.watcher)
        self.clients, self.relay_hosts = self._actors()
        ActorFaults(
            scenario.faults,
            self._streams,
            self.kernel,
            self.relay_hosts,
            self.clients,
            self.machinery.happened.append,
        )

    def _actors(self) -> tuple[Clients, RelayHosts]:
        scenario, streams, machinery = self.scenario, self._streams, self.machinery
        network, parameters = machinery.network, machinery.parameters
        front = Front([network.zone_of(number) for number in range(scenario.relays.count)])
        relay_hosts = RelayHosts(
            scenario,
            streams,
            self.kernel,
            network,
            machinery.listing,
            self.watcher,
            front,
            lambda number, seed: Relay(number, settings[number], seed, context),
        )
        population = Population(scenario, parameters, streams, self.kernel.start)
        clients = relay_hosts.clients = Clients(
            scenario,
            population,
            streams,
            self.kernel,
            network,
            machinery.servers,
            machinery.service,
            self.watcher,
            front,
            relay_hosts,
        )
        context = RelayContext(
            self.kernel, machinery.servers, clients, self.watcher, Costs.of(scenario.relays, streams)
        )
        settings = [
            make_settings(scenario, parameters, number, network.zone_of(number))
            for number in range(len(relay_hosts))
        ]
        return clients, relay_hosts

    def start(self) -> None:
        """Starts all processes, which then have the list; no client has a connection yet."""
        self.machinery.start()
        self.relay_hosts.start()

    def run(self, progress: Progress | None) -> None:
        self.clients.start()
        length = round(self.scenario.length_s * SECOND_US)
        longest = max(round(kind.deadline_ms * 1000) for kind in self.scenario.classes)
        end = self.kernel.start + length + longest + FINAL_ANSWER_MARGIN_US
        while self.kernel.now < end:
            self.kernel.run(min(end, self.kernel.now + PROGRESS_STEP_US))
            if progress is not None:
                progress((self.kernel.now - self.kernel.start) / (end - self.kernel.start))
        self.watcher.finish(end)

    def result(self, revision: str, cost: dict[str, float]) -> RunResult:
        service, measures, verdicts = self.machinery.service, self.measures, self.checker.verdicts()
        happened = tuple(sorted(self.machinery.happened, key=lambda one: one.at_us))
        answers = measures.answers()
        figures = (
            service.figures()
            | measures.figures()
            | self.tally.figures()
            | {
                "clients": float(len(self.clients)),
                "refused": float(answers["busy"]),
                "rules_broken": float(len(verdicts) + self.checker.left_out),
                "servers_fallen": float(sum(len(one.servers) for one in happened if one.what == OVERLOADED)),
            }
        )
        return RunResult(
            scenario=self.scenario.name,
            seed=self.seed,
            revision=revision,
            length_us=round(self.scenario.length_s * SECOND_US),
            figures=figures,
            answers=answers,
            set_up=measures.set_up(),
            series=service.series() | measures.series(),
            server_load=service.server_load(),
            verdicts=verdicts,
            verdicts_left_out=self.checker.left_out,
            happened=happened,
            cost=cost,
            guards_against=" ".join(self.scenario.guards_against.split()),
        )


def play(
    scenario: Scenario,
    seed: int,
    *,
    revision: str = "work tree",
    watchers: Sequence[Watcher] = (),
    progress: Progress | None = None,
) -> RunResult:
    """Plays one history. The same scenario, seed and decision package give the same `results.encode`.

    `watchers` get all observations, as the checker and the measures do. `progress` is called with the share
    (0 to 1) that has been played. `revision` is only recorded: the caller has to import the `linnetspread` of
    that revision. The result's `cost` holds the total `seconds`, `build_s` of these until the first
    connection, and `peak_mb` of the process so far.
    """
    started_at = time.perf_counter()
    with without_garbage_collection(), shared_anchors():
        world = World(scenario, seed, watchers)
        world.start()
        built = time.perf_counter()
        world.run(progress)
        played = time.perf_counter()
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return world.result(
        revision, {"seconds": played - started_at, "build_s": built - started_at, "peak_mb": peak_mb}
    )


@contextmanager
def without_garbage_collection() -> Iterator[None]:
    """Collects garbage once and disables the collector during a history.

    Objects of a history are freed without cycles, and searching a million objects for cycles is slow. Only
    the world itself is a cycle, so that of the previous history is collected here.
    """
    gc.collect()
    was_on = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_on:
            gc.enable()
