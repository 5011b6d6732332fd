"""`glenfold lab load`: puts open-loop load on relays and reports the measurements."""

import math
import os
import re
import signal
import socket
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import FrameType
from typing import Any

import click
import msgspec
import psutil  # type: ignore[import-untyped]
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from glenfold.config import Address, read_address
from glenfold.toml_file import BadFile, TomlFile
from glenfold_lab.load import echo, plan, plan_options, worker_pool
from glenfold_lab.load.offer import Offer
from glenfold_lab.load.result import ENDED_EARLY, LoadResult, summarize, window_us
from glenfold_lab.results import Distribution

INTERRUPTED_STATUS = 130  # The exit status that shells use for SIGINT.
QUANTILES = ("50", "90", "99", "99.9", "100")
RECONNECT_PATTERN = re.compile(r"(\d+)@(\d+(?:\.\d+)?)(?:/(\d+(?:\.\d+)?))?")
# Options that set keys of the class in the plan.
CLASS_OPTIONS = ("name", "wait_ms", "life_s", "line_gap_ms")
# The option that sets each key of a plan; errors in the plan are reported under the option.
OPTION_BY_KEY = {
    "reconnects": "--reconnect",
    "schemes": "--scheme",
    "rate": "--rate",
    "for_s": "--for",
    "at_s": "--ramp",
    "wait_ms": "--wait-ms",
    "life_s": "--life",
    "line_gap_ms": "--line-gap-ms",
    "name": "--class",
    "arrivals": "--rate",
}


def _check_folder(_: click.Context, __: click.Parameter, out: str | None) -> str | None:
    """Checks before the load, not after it, that the result can be written."""
    if out is not None and out != "-" and not os.access(Path(out).parent, os.W_OK):
        raise click.BadParameter(f"no file can be written in {Path(out).parent}")
    return out


class NumberOption(click.ParamType[float]):
    """A finite number, at least `min_value`, or above it if `inclusive` is false."""

    name = "number"

    def __init__(self, min_value: float = 0.0, inclusive: bool = True) -> None:
        self._min_value, self._inclusive = min_value, inclusive

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        try:
            number = float(value)
        except ValueError:
            number = math.nan
        if (
            not math.isfinite(number)
            or number < self._min_value
            or (number == self._min_value and not self._inclusive)
        ):
            bound = "at least" if self._inclusive else "above"
            self.fail(f"{value!r} is not a number {bound} {self._min_value:g}", param, ctx)
        return number


class TargetOption(click.ParamType[Address]):
    """The address of a relay as HOST:PORT."""

    name = "HOST:PORT"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Address:
        """Resolves the host once, so that name lookups are not part of the measured times."""
        try:
            host, port = read_address(value)
            addresses = socket.getaddrinfo(host, port, socket.AF_INET, socket.SOCK_STREAM)
        except ValueError as error:
            self.fail(str(error), param, ctx)
        except OSError as error:
            self.fail(f"{value!r} has no IPv4 address: {error}", param, ctx)
        return str(addresses[0][4][0]), port


class ReconnectOption(click.ParamType[plan_options.Reconnect]):
    """A number of clients that reconnect, the second of the start, and the seconds they take."""

    name = "N@AT[/WITHIN]"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> plan_options.Reconnect:
        match = RECONNECT_PATTERN.fullmatch(value)
        if match is None:
            self.fail(f"{value!r} is not CLIENTS@SECONDS[/WITHIN], as 2000@15/1.5", param, ctx)
        clients, at_s, within_s = match.groups()
        return plan_options.Reconnect(clients=int(clients), at_s=float(at_s), within_s=float(within_s or 0))


POSITIVE = NumberOption(inclusive=False)


@click.command("load")
@click.option(
    "--to", "targets", type=TargetOption(), multiple=True, help="Address of a relay; may be repeated."
)
@click.option("--self-test", is_flag=True, help="Put the load on stand-ins that only echo, instead of --to.")
@click.option(
    "--plan",
    "file",
    type=click.Path(path_type=Path),
    help="A TOML plan, instead of --rate and the other options of the load.",
)
@click.option("--rate", type=POSITIVE, help="New connections per second.")
@click.option("--for", "for_s", type=POSITIVE, help="Seconds during which clients connect.")
@click.option(
    "--ramp", "ramp_s", type=NumberOption(), help="Seconds at the start over which the rate rises from 0."
)
@click.option("--poisson", is_flag=True, help="Start clients at random times, not at even intervals.")
@click.option(
    "--reconnect",
    type=ReconnectOption(),
    multiple=True,
    help="N clients disconnect from second AT on and reconnect, at once or spread over WITHIN seconds.",
)
@click.option(
    "--class", "name", help="Class of the connections, from the settings of the relays.  [default: watch]"
)
@click.option("--scheme", help="Scheme of the clients.  [default: none]")
@click.option(
    "--wait-ms", type=click.IntRange(min=1), help="How long a client waits for UP.  [default: 2000]"
)
@click.option(
    "--life", "life_s", type=POSITIVE, help="Seconds that a client wants to stay connected.  [default: 10]"
)
@click.option(
    "--line-gap-ms",
    type=NumberOption(),
    help="Time between the lines of a client; 0: no lines.  [default: 2000]",
)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Seed of the plan.")
@click.option(
    "--workers", type=click.IntRange(1, 64), default=2, show_default=True, help="Number of worker processes."
)
@click.option(
    "--most-open",
    type=click.IntRange(min=1),
    default=20_000,
    show_default=True,
    help="Maximum number of open connections.",
)
@click.option(
    "--late-ms",
    type=POSITIVE,
    default=5.0,
    show_default=True,
    help="The result is marked late if its starts are later than this at the 99th percentile.",
)
@click.option(
    "--json",
    "out",
    type=click.Path(dir_okay=False, writable=True, allow_dash=True),
    callback=_check_folder,
    help="Write the result to this file as JSON; - writes it to stdout, without tables.",
)
def command(
    targets: tuple[Address, ...],
    self_test: bool,
    file: Path | None,
    seed: int,
    workers: int,
    most_open: int,
    late_ms: float,
    out: str | None,
    **options: Any,
) -> None:
    """Put open-loop load on relays: clients start as planned, regardless of how earlier clients fared.

    Exit status: 0 the plan was measured in full, 1 the result is marked (late, no room) or a worker failed,
    2 an argument or a file is invalid, 130 ended early by a signal."""
    if self_test == bool(targets):
        raise click.UsageError("exactly one of --to and --self-test is required")
    if len(set(targets)) < len(targets):
        raise click.BadParameter("the same relay is given twice", param_hint="--to")
    load_plan = _from_file(file, options) if file else _from_options(options)
    request = LoadRequest(load_plan, seed, workers, most_open, round(late_ms * 1000), out == "-")
    try:
        result = _self_test(request) if self_test else _measure(request, targets)
    except worker_pool.LoadFailed as error:
        raise click.ClickException(str(error)) from error
    _write_result(result, out)
    if result.marks:
        raise SystemExit(INTERRUPTED_STATUS if result.marks == (ENDED_EARLY,) else 1)


# ---- options ----


def _from_file(file: Path, options: dict[str, Any]) -> plan_options.LoadPlan:
    load_options = [name for name, value in options.items() if value]
    if load_options:
        raise click.UsageError("--plan excludes --rate and the other options of the load")
    return plan_options.read(file)


def _from_options(options: dict[str, Any]) -> plan_options.LoadPlan:
    rate, for_s, ramp_s = options["rate"], options["for_s"], options["ramp_s"] or 0.0
    if rate is None or for_s is None:
        raise click.UsageError("--rate and --for are required, or --plan")
    if ramp_s > for_s:
        raise click.BadParameter("is longer than --for", param_hint="--ramp")
    kind = {key: options[key] for key in CLASS_OPTIONS if options[key] is not None}
    document = {
        "format": 1,
        "arrivals": _arrivals(rate, for_s, ramp_s, "poisson" if options["poisson"] else "constant"),
        "classes": [{"name": "watch", **kind}],
        "schemes": [{"name": options["scheme"]}] if options["scheme"] else [],
        "reconnects": msgspec.to_builtins(options["reconnect"]),
    }
    try:
        return plan_options.checked(TomlFile("options", document, {}))
    except BadFile as error:
        hint = next(option for key, option in OPTION_BY_KEY.items() if key in error.key)
        raise click.BadParameter(error.reason, param_hint=hint) from error


def _arrivals(rate: float, for_s: float, ramp_s: float, process: str) -> list[dict[str, object]]:
    rising = {"rate": [0, rate], "for_s": ramp_s, "process": process}
    steady = {"rate": rate, "at_s": ramp_s, "for_s": for_s - ramp_s, "process": process}
    return [part for part in (rising, steady) if part["for_s"]]


# ---- the measurement ----


@dataclass(frozen=True, slots=True)
class LoadRequest:
    """The load to put on relays, and the options of the measurement."""

    load_plan: plan_options.LoadPlan
    seed: int
    workers: int
    most_open: int
    late_us: int
    quiet: bool


def _self_test(request: LoadRequest) -> LoadResult:
    all_cores = psutil.Process().cpu_affinity()
    load_cores = {core for cores in worker_pool.cores_for(request.workers) for core in cores}
    other_cores = [core for core in all_cores if core not in load_cores]
    with echo.echo_servers(request.workers, other_cores or all_cores) as targets:
        return _measure(request, targets)


def _measure(request: LoadRequest, targets: Sequence[Address]) -> LoadResult:
    clients = plan.draw(request.load_plan, request.seed, len(targets))
    length_us = plan.length_us(request.load_plan)
    offer = Offer(request.load_plan, targets, request.most_open, window_us(length_us))
    with _stop_on_signals() as stopped, _progress(length_us / plan.SECOND_US, request.quiet) as show:

        def check() -> bool:
            show()
            return stopped()

        reports = worker_pool.run_load(offer, clients, request.workers, check)
        return summarize(request.seed, offer, clients, length_us, reports, request.late_us, stopped())


@contextmanager
def _stop_on_signals() -> Iterator[Callable[[], bool]]:
    """Yields a callable that returns whether SIGINT or SIGTERM was received.

    The first signal ends the load early, with the measurements so far. The second one ends it at once.
    """
    received: list[int] = []

    def handle(number: int, _: FrameType | None) -> None:
        received.append(number)
        if len(received) > 1:
            raise KeyboardInterrupt

    previous = {number: signal.signal(number, handle) for number in (signal.SIGINT, signal.SIGTERM)}
    try:
        yield lambda: bool(received)
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@contextmanager
def _progress(length_s: float, quiet: bool) -> Iterator[Callable[[], None]]:
    console = Console(stderr=True)
    columns = (TextColumn("load"), BarColumn(), TimeRemainingColumn())
    with Progress(*columns, console=console, transient=True, disable=quiet or not console.is_terminal) as bar:
        task, started_at = bar.add_task("load", total=length_s), time.monotonic()
        yield lambda: bar.update(task, completed=time.monotonic() - started_at)


# ---- output ----


def _write_result(result: LoadResult, out: str | None) -> None:
    if out != "-":
        show(result, Console())
    if out is not None:
        with click.open_file(out, "wb") as file:
            file.write(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def show(result: LoadResult, console: Console) -> None:
    """Prints the result as tables."""
    table = Table("in ms", "count", *(f"{name} %" for name in QUANTILES[:-1]), "greatest", title="Latencies")
    for column in table.columns[1:]:
        column.justify = "right"
    for name, values in result.set_up.items():
        _row(table, f"set-up of {name}", values)
    for kind, values in result.answers.items():
        if kind != "up":
            _row(table, f"answer: {kind}", values)
    _row(table, "lines, there and back", result.lines)
    _row(table, "the load's own lateness", result.lateness)
    _row(table, "that of its lines", result.line_lateness)
    console.print(table, _windows(result))
    if len(result.targets) > 1:
        console.print(_targets(result))
    console.print(_summary(result))


def _row(table: Table, name: str, values: Distribution) -> None:
    if values.count:
        table.add_row(
            name, str(values.count), *(f"{values.quantiles[quantile] / 1000:.1f}" for quantile in QUANTILES)
        )


def _windows(result: LoadResult) -> Table:
    table = Table("from s", "starts", "up", "50 % ms", "99 % ms", title="Set-up over time")
    for window in result.windows:
        up = window.set_up
        table.add_row(
            f"{window.from_us / 1e6:g}",
            str(window.started),
            str(up.count),
            *(f"{up.quantiles[quantile] / 1000:.1f}" if up.count else "-" for quantile in ("50", "99")),
        )
    return table


def _targets(result: LoadResult) -> Table:
    table = Table("relay", *result.answers, title="Answers")
    for name, counts in result.targets.items():
        table.add_row(name, *(str(counts.get(kind, 0)) for kind in result.answers))
    return table


def _summary(result: LoadResult) -> str:
    answered = sum(values.count for values in result.answers.values())
    lines = [
        f"{result.started} of {result.planned} planned starts, {answered} answered; "
        f"{result.standing} stood at the end; {result.lines_unanswered} lines unanswered",
        "ended: " + (", ".join(f"{count} {how}" for how, count in result.partings.items()) or "none"),
        f"the load itself: {result.cost['cpu_s']:.1f} s of CPU, {result.cost['memory_mb']:.0f} MB",
    ]
    if result.marks:
        lines.append(f"[bold red]Not what was asked for: {', '.join(result.marks)}[/]")
    return "\n".join(lines)
