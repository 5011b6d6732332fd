"""Counts over a whole fleet, from the logs of all its relays together: what came in and what became of it.

    LB_LOG_LEVELS=decision.traced=debug ...            in the environment of each relay
    python benchmarks/vast/count.py LOGS [--step 1] [--servers] [--cold --rate 40]

LOGS is a folder with one file a relay. A line begins with the seconds of the day, or with the time of day;
what stands between that and the event's own text does not matter. --cold needs a time of day (UTC) in it.
"""

import argparse
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

EVENT = re.compile(r"DEBUG (\w+)\((.*?)\) -> (.*)$")
FIELD = re.compile(r"(\w+)=(?:<\w+\.(\w+): \d+>|([^,()]+))")
ATTEMPT = re.compile(r"Attempt\(request=(\d+), server=(\d+)")
FINAL = re.compile(r"(Refuse|Fail|Move)\(request=(\d+)")
LISTED = re.compile(r"server=(\d+), state=<ServerState\.READY: \d+>.*?started_us=(\d+)")
CLOCK = re.compile(r"\b(\d\d):(\d\d):(\d\d\.\d+)")
DAY_S = 86_400
NOTE = re.compile(r"INFO server (\d+) (suspect|jams)")
COLUMNS = (
    "new",
    "back",
    "mid",
    "try",
    "up",
    "full",
    "no conn",
    "time-out",
    "reset",
    "refused",
    "gone",
    "dropped",
    "mid lost",
    "moved",
    "suspect",
    "jams",
    "lists",
    "no list",
)
OUTCOMES = {
    "FULL": "full",
    "CONNECT_FAILED": "no conn",
    "TIMEOUT": "time-out",
    "RESET": "reset",
    "ERROR": "reset",
    "CANCELLED": "gone",
}


@dataclass
class Tally:
    """By second of the day, and by server."""

    by_time: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    by_server: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    refused: Counter[str] = field(default_factory=Counter)  # final answers other than UP, by class
    started: dict[int, float] = field(default_factory=dict)  # servers, and the latest moment of the day (UTC)
    tries: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))  # in such moments

    def add(self, at: float, what: str, server: int | None = None) -> None:
        self.by_time[int(at)][what] += 1
        if server is not None:
            self.by_server[server][what] += 1


@dataclass(frozen=True)
class Cold:
    """What the rule lets a server that just started take, by the settings. rate: connections a second that
    all servers together may be given (the schemes' quotas); each of them counts alike."""

    rate: float
    servers: int
    share: float = 0.12
    cold_s: float = 23.0
    multiple: float = 3.0
    window_s: float = 3.0

    def budget(self, age_s: float) -> float:
        """Of the window that begins at this age, at the capacity of its beginning."""
        share = self.share + (1 - self.share) * min(1.0, max(0.0, age_s) / self.cold_s)
        return self.multiple * share * self.rate / self.servers * self.window_s

    def fullest(self, started: float, tries: list[float]) -> tuple[int, float, float]:
        """Of all windows that begin with an attempt while it was cold: attempts, budget, and their ratio."""
        cold = sorted(at - started for at in tries if 0 <= at - started < self.cold_s)
        windows = [
            (sum(age <= other < age + self.window_s for other in cold), self.budget(age)) for age in cold
        ]
        rows = ((n, budget, n / budget) for n, budget in windows)
        return max(rows, key=lambda row: row[2], default=(0, 0.0, 0.0))


def seconds(word: str) -> float:
    parts = [float(part) for part in word.split(":")]
    return sum(part * 60**power for power, part in enumerate(reversed(parts)))


class Relay:
    """One relay's log; a process that starts anew counts its requests anew."""

    def __init__(self, tally: Tally) -> None:
        self._tally = tally
        self._begin()

    def _begin(self) -> None:
        self._mid: set[str] = set()
        self._class: dict[str, str] = {}
        self._up: set[str] = set()

    def take(self, line: str) -> None:
        word, _, text = line.partition(" ")
        if not word[:1].isdigit():
            return
        at = seconds(word)
        if "life: starting" in text:
            self._begin()
        elif found := NOTE.search(text):
            self._tally.add(at, found[2], int(found[1]))
        elif "discovery: " in text:
            self._tally.add(at, "no list")
        elif found := EVENT.search(text):
            fields = {name: enum or plain for name, enum, plain in FIELD.findall(found[2])}
            clock = CLOCK.search(line)
            moment = seconds(":".join(clock.groups())) if clock else at
            if found[1] == "ServerList":
                for server, started_us in LISTED.findall(text):
                    if int(started_us):
                        latest = max(self._tally.started.get(int(server), 0.0), int(started_us) / 1e6 % DAY_S)
                        self._tally.started[int(server)] = latest
            self._event(at, found[1], fields)
            self._actions(at, moment, found[3])

    def _event(self, at: float, name: str, fields: dict[str, str]) -> None:
        request, server = fields.get("request", ""), int(fields.get("server", 0))
        if name == "Request":
            mid, back = fields["mid_flow"] == "True", fields["returning"] == "True"
            self._mid |= {request} if mid else set()
            self._class[request] = fields.get("request_class", "")
            self._tally.add(at, "mid" if mid else "back" if back else "new")
        elif name == "ServerList":
            self._tally.add(at, "lists")
        elif name == "Established":
            self._up.add(request)
            self._tally.add(at, "up", server)
        elif name == "Answer":
            outcome = fields["outcome"]
            if request in self._up:
                self._up.discard(request)
                if outcome in ("RESET", "ERROR", "TIMEOUT"):
                    self._tally.add(at, "dropped", server)
            elif outcome in OUTCOMES:
                lost = outcome == "RESET" and request in self._mid and fields["attempt"] == "0"
                self._tally.add(at, "mid lost" if lost else OUTCOMES[outcome], server)

    def _actions(self, at: float, moment: float, text: str) -> None:
        for _, server in ATTEMPT.findall(text):
            self._tally.add(at, "try", int(server))
            self._tally.tries[int(server)].append(moment)
        for what, request in FINAL.findall(text):
            self._tally.add(at, "moved" if what == "Move" else "refused")
            if what != "Move":
                self._tally.refused[self._class.get(request, "")] += 1


def count(logs: Iterable[Iterable[str]]) -> Tally:
    tally = Tally()
    for log in logs:
        relay = Relay(tally)
        for line in log:
            relay.take(line)
    return tally


def table(head: str, rows: Iterable[tuple[int, Counter[str]]]) -> Iterator[str]:
    yield f"{head:>12}" + "".join(f"{name:>9}" for name in COLUMNS)
    for key, counts in rows:
        yield f"{key:12}" + "".join(f"{counts[name] or '.':>9}" for name in COLUMNS)


def main() -> None:
    arguments = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    arguments.add_argument("logs", type=Path)
    arguments.add_argument("--step", type=int, default=1, help="seconds to a row")
    arguments.add_argument("--servers", action="store_true", help="a row for each server, too")
    arguments.add_argument("--cold", action="store_true", help="what started servers took of their budget")
    arguments.add_argument("--rate", type=float, help="sum of the schemes' quota_per_s, for --cold")
    told = arguments.parse_args()
    if told.cold and not told.rate:
        arguments.error("--cold needs --rate: the sum of quota_per_s in the settings")
    tally = count(path.read_text(errors="replace").splitlines() for path in sorted(told.logs.iterdir()))
    by_step: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for at, counts in tally.by_time.items():
        by_step[at // told.step * told.step] += counts
    print(*table("second", sorted(by_step.items())), sep="\n")
    if told.servers:
        print(*table("server", sorted(tally.by_server.items(), key=lambda row: -row[1]["try"])), sep="\n")
    print("refused by class:", dict(tally.refused))
    if told.cold:
        # As many as were there before any started; long lists stand cut short in a log.
        cold = Cold(told.rate, max(1, len(tally.by_server.keys() - tally.started.keys())))
        print("".join(f"{name:>12}" for name in ("cold server", "tries", "in a window", "budget", "of it")))
        rows = [
            (server, len(tally.tries[server]), *cold.fullest(started, tally.tries[server]))
            for server, started in tally.started.items()
        ]
        for server, tries, most, budget, part in sorted(rows, key=lambda row: -row[4]):
            print(f"{server:12}{tries:12}{most:12}{budget:12.1f}{part:12.2f}")


if __name__ == "__main__":
    main()
