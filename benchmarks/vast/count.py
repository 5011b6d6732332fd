"""Counts the requests of a whole fleet and their outcomes, from the logs of all its relays.

    LB_LOG_LEVELS=decision.traced=debug ...            in the environment of each relay
    python benchmarks/vast/count.py LOGS [--step 1] [--servers] [--cold --rate 40]

LOGS is a folder with one file for each relay. A line begins with the seconds of the day, or with the time of
day. Any text may stand between that and the text of the event. --cold needs a time of day (UTC) in the line.
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
SERVER_NOTICE = re.compile(r"INFO server (\d+) (suspect|jams)")
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
    """Counts by second of the day, and by server."""

    by_time: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    by_server: defaultdict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    refused_by_class: Counter[str] = field(default_factory=Counter)  # final answers other than UP
    # The time of the latest start of each server, in seconds of the day (UTC).
    started_at: dict[int, float] = field(default_factory=dict)
    # The times of the attempts at each server, in seconds of the day (UTC).
    attempt_times: defaultdict[int, list[float]] = field(default_factory=lambda: defaultdict(list))

    def add(self, at: float, column: str, server: int | None = None) -> None:
        self.by_time[int(at)][column] += 1
        if server is not None:
            self.by_server[server][column] += 1


@dataclass(frozen=True)
class ColdBudget:
    """The number of attempts that the rule allows a recently started server.

    `rate_per_s` is the number of connections per second that all servers together may be sent (the sum of the
    schemes' quotas). Each server gets the same part of it.
    """

    rate_per_s: float
    servers: int
    share: float = 0.12
    cold_s: float = 23.0
    multiple: float = 3.0
    window_s: float = 3.0

    def budget(self, age_s: float) -> float:
        """Returns the budget of the window that begins at this age, at the capacity of its start."""
        share = self.share + (1 - self.share) * min(1.0, max(0.0, age_s) / self.cold_s)
        return self.multiple * share * self.rate_per_s / self.servers * self.window_s

    def fullest_window(self, started_at: float, attempt_times: list[float]) -> tuple[int, float, float]:
        """Returns the attempts, the budget and their ratio of the window with the highest ratio.

        Windows begin with each attempt that came while the server was cold. Without any, all three are 0.
        """
        cold = sorted(at - started_at for at in attempt_times if 0 <= at - started_at < self.cold_s)
        windows = [
            (sum(age <= other < age + self.window_s for other in cold), self.budget(age)) for age in cold
        ]
        rows = ((n, budget, n / budget) for n, budget in windows)
        return max(rows, key=lambda row: row[2], default=(0, 0.0, 0.0))


def parse_seconds(word: str) -> float:
    """Returns the seconds in a text such as `3.5` or `17:00:03.5`."""
    parts = [float(part) for part in word.split(":")]
    return sum(part * 60**power for power, part in enumerate(reversed(parts)))


class RelayLog:
    """The log of one relay. Request numbers start again at each start of its process."""

    def __init__(self, tally: Tally) -> None:
        self._tally = tally
        self._reset()

    def _reset(self) -> None:
        self._mid_flow: set[str] = set()
        self._classes: dict[str, str] = {}
        self._established: set[str] = set()

    def add_line(self, line: str) -> None:
        word, _, text = line.partition(" ")
        if not word[:1].isdigit():
            return
        at = parse_seconds(word)
        if "life: starting" in text:
            self._reset()
        elif match := SERVER_NOTICE.search(text):
            self._tally.add(at, match[2], int(match[1]))
        elif "discovery: " in text:
            self._tally.add(at, "no list")
        elif match := EVENT.search(text):
            fields = {name: enum or plain for name, enum, plain in FIELD.findall(match[2])}
            clock = CLOCK.search(line)
            time_of_day = parse_seconds(":".join(clock.groups())) if clock else at
            if match[1] == "ServerList":
                for server, started_us in LISTED.findall(text):
                    if int(started_us):
                        latest = max(
                            self._tally.started_at.get(int(server), 0.0), int(started_us) / 1e6 % DAY_S
                        )
                        self._tally.started_at[int(server)] = latest
            self._count_event(at, match[1], fields)
            self._count_actions(at, time_of_day, match[3])

    def _count_event(self, at: float, name: str, fields: dict[str, str]) -> None:
        request, server = fields.get("request", ""), int(fields.get("server", 0))
        if name == "Request":
            is_mid_flow, is_returning = fields["mid_flow"] == "True", fields["returning"] == "True"
            self._mid_flow |= {request} if is_mid_flow else set()
            self._classes[request] = fields.get("request_class", "")
            self._tally.add(at, "mid" if is_mid_flow else "back" if is_returning else "new")
        elif name == "ServerList":
            self._tally.add(at, "lists")
        elif name == "Established":
            self._established.add(request)
            self._tally.add(at, "up", server)
        elif name == "Answer":
            outcome = fields["outcome"]
            if request in self._established:
                self._established.discard(request)
                if outcome in ("RESET", "ERROR", "TIMEOUT"):
                    self._tally.add(at, "dropped", server)
            elif outcome in OUTCOMES:
                is_mid_flow_loss = (
                    outcome == "RESET" and request in self._mid_flow and fields["attempt"] == "0"
                )
                self._tally.add(at, "mid lost" if is_mid_flow_loss else OUTCOMES[outcome], server)

    def _count_actions(self, at: float, time_of_day: float, text: str) -> None:
        for _, server in ATTEMPT.findall(text):
            self._tally.add(at, "try", int(server))
            self._tally.attempt_times[int(server)].append(time_of_day)
        for action, request in FINAL.findall(text):
            self._tally.add(at, "moved" if action == "Move" else "refused")
            if action != "Move":
                self._tally.refused_by_class[self._classes.get(request, "")] += 1


def count(logs: Iterable[Iterable[str]]) -> Tally:
    tally = Tally()
    for log in logs:
        relay = RelayLog(tally)
        for line in log:
            relay.add_line(line)
    return tally


def table(title: str, rows: Iterable[tuple[int, Counter[str]]]) -> Iterator[str]:
    yield f"{title:>12}" + "".join(f"{name:>9}" for name in COLUMNS)
    for key, counts in rows:
        yield f"{key:12}" + "".join(f"{counts[name] or '.':>9}" for name in COLUMNS)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("logs", type=Path)
    parser.add_argument("--step", type=int, default=1, help="seconds per row")
    parser.add_argument("--servers", action="store_true", help="print a row for each server as well")
    parser.add_argument(
        "--cold", action="store_true", help="compare attempts at started servers with their budget"
    )
    parser.add_argument("--rate", type=float, help="sum of the schemes' quota_per_s, for --cold")
    options = parser.parse_args()
    if options.cold and not options.rate:
        parser.error("--cold requires --rate: the sum of quota_per_s in the settings")
    tally = count(path.read_text(errors="replace").splitlines() for path in sorted(options.logs.iterdir()))
    by_step: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for at, counts in tally.by_time.items():
        by_step[at // options.step * options.step] += counts
    print(*table("second", sorted(by_step.items())), sep="\n")
    if options.servers:
        print(*table("server", sorted(tally.by_server.items(), key=lambda row: -row[1]["try"])), sep="\n")
    print("refused by class:", dict(tally.refused_by_class))
    if options.cold:
        # The number of servers that did not restart is used, because a log truncates long lists.
        cold = ColdBudget(options.rate, max(1, len(tally.by_server.keys() - tally.started_at.keys())))
        print("".join(f"{name:>12}" for name in ("cold server", "tries", "in a window", "budget", "of it")))
        rows = [
            (
                server,
                len(tally.attempt_times[server]),
                *cold.fullest_window(started_at, tally.attempt_times[server]),
            )
            for server, started_at in tally.started_at.items()
        ]
        for server, total_attempts, window_attempts, budget, ratio in sorted(rows, key=lambda row: -row[4]):
            print(f"{server:12}{total_attempts:12}{window_attempts:12}{budget:12.1f}{ratio:12.2f}")


if __name__ == "__main__":
    main()
