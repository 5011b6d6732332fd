"""Structured logs: events with stable names and fields, as text for people or JSON lines for machines.

The events are defined in `glenfold.events`; the rest of the program only calls them. An event that its level
disables costs one check of a flag and is not formatted. Each event has a rate limit, and the number of lines
that were left out is logged with the next line of the event. Lines are written by a thread of their own
(`Writer`), so that a log that blocks or fails loses lines, but never delays or ends a relay.
"""

import os
import queue
import select
import sys
import threading
import time
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime
from enum import Enum
from typing import Any, Final, Generic, ParamSpec

from loguru import logger

from glenfold.rules.rate import RateLimit

LEVELS: Final = {"debug": 10, "info": 20, "warning": 30, "error": 40}
FORMS: Final = ("text", "json")
FIELD_CHARS = 2000  # texts in fields are cut to this length
TEXT_CHARS = 4000  # lines of the text form are cut to this length
MAX_QUEUED_BYTES = 1 << 20  # lines that would exceed this queue are lost
CLOSING_TIMEOUT_S = 0.2  # time for writing the last lines at exit
OWN_FIELDS: Final = frozenset({"time", "level", "event", "instance", "left_out", "trace"})

P = ParamSpec("P")


@dataclass(frozen=True, slots=True)
class Options:
    """The options of the log.

    `form` is one of FORMS. `level` is the lowest level that is logged, one of LEVELS. `levels` are other
    lowest levels for single events or groups of events, by the name or its first part (`client` applies to
    `client.malformed`); the longest match applies. `per_s` and `burst` limit the lines of each event that has
    no limit of its own. Raises ValueError, which names the key and the valid values.
    """

    form: str = "text"
    level: str = "info"
    levels: Mapping[str, str] = field(default_factory=dict)
    per_s: float = 10.0
    burst: int = 100

    def __post_init__(self) -> None:
        if self.form not in FORMS:
            raise ValueError(f"form: {self.form!r} is none of {', '.join(FORMS)}")
        for key, level in {"level": self.level, **{f"levels.{n}": v for n, v in self.levels.items()}}.items():
            if level not in LEVELS:
                raise ValueError(f"{key}: {level!r} is none of {', '.join(LEVELS)}")
        if not self.per_s > 0:
            raise ValueError(f"per_s: {self.per_s!r} is not above 0")
        if self.burst < 1:
            raise ValueError(f"burst: {self.burst!r} is not at least 1")

    def level_of(self, name: str) -> str:
        """Returns the lowest level at which the event of this name is logged."""
        matching = [prefix for prefix in self.levels if f"{name}.".startswith(f"{prefix}.")]
        return self.levels[max(matching, key=len)] if matching else self.level


class Event(Generic[P]):
    """One kind of event. A call with its fields logs the event and never raises."""

    __slots__ = ("name", "level", "text", "fields", "own_rate", "trace", "is_enabled", "rate")

    def __init__(
        self,
        name: str,
        level: str,
        text: str,
        fields: tuple[str, ...],
        own_rate: tuple[float, int] | None,
        trace: bool,
    ) -> None:
        self.name = name
        self.level = level
        self.text = text  # line of the text form, with {fields}
        self.fields = fields
        self.own_rate = own_rate  # lines a second and burst; None for the limit of the options
        self.trace = trace  # whether the traceback of the field `error` is logged as well
        self.set_options(_log.options)

    def set_options(self, options: Options) -> None:
        """Applies the level and the rate limit that the options give for this event."""
        self.is_enabled = LEVELS[self.level] >= LEVELS[options.level_of(self.name)]
        self.rate = RateLimit(*(self.own_rate or (options.per_s, options.burst)))

    def __call__(self, *nothing: P.args, **fields: P.kwargs) -> None:
        if self.is_enabled:
            _log.log(self, fields)


def event(
    name: str, level: str, text: str, *, rate: tuple[float, int] | None = None, trace: bool = False
) -> Callable[[Callable[P, None]], Event[P]]:
    """Returns a decorator that turns a function into an event.

    The keyword-only parameters of the function are the fields of the event, and its docstring says when the
    event is logged. `rate` limits the event to so many lines a second and so many in a burst. `trace` adds
    the traceback of the field `error`. Raises ValueError if the name is taken.
    """

    def register(function: Callable[P, None]) -> Event[P]:
        if name in EVENTS:
            raise ValueError(f"there are two events {name}")
        code = function.__code__
        new_event: Event[P] = Event(
            name, level, text, code.co_varnames[: code.co_kwonlyargcount], rate, trace
        )
        EVENTS[name] = new_event
        return new_event

    return register


class Writer:
    """Writes lines to a descriptor in a thread of its own.

    `put` never waits: lines that do not fit within MAX_QUEUED_BYTES, or can't be written, are counted as
    lost.
    """

    def __init__(self, descriptor: int) -> None:
        self.refused = 0  # lines that did not fit; changed by `put` alone
        self.failed = 0  # lines that could not be written; changed by the thread alone
        self._descriptor = descriptor
        self._lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._queued_total = 0  # bytes queued since the start; changed by `put` alone
        self._written_total = 0  # queued bytes that are written or lost; changed by the thread alone
        self._finished = threading.Event()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    @property
    def lost(self) -> int:
        """The number of lines that could not be queued or written."""
        return self.refused + self.failed

    @property
    def queued_bytes(self) -> int:
        """The number of bytes that wait to be written."""
        return self._queued_total - self._written_total

    def put(self, message: str) -> None:
        """Queues a line. Must not be called concurrently, which loguru ensures."""
        line = message.encode("utf-8", "backslashreplace")
        if self.queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self.refused += 1
            return
        self._queued_total += len(line)
        self._lines.put(line)

    def finish(self) -> None:
        """Waits up to CLOSING_TIMEOUT_S for the queued lines, so a blocked descriptor can't delay exit."""
        self._lines.put(None)
        self._finished.wait(CLOSING_TIMEOUT_S)

    def _run(self) -> None:
        unfinished = b""
        while (line := self._lines.get()) is not None:
            remaining = memoryview(unfinished + line)
            try:
                while remaining:
                    remaining = remaining[self._write(remaining) :]
                unfinished = b""
            except OSError:
                self.failed += 1
                unfinished = b"\n" if remaining.nbytes < len(unfinished + line) else unfinished
            self._written_total += len(line)
        self._finished.set()

    def _write(self, data: memoryview) -> int:
        while True:
            try:
                return os.write(self._descriptor, data)
            except BlockingIOError:  # a process that shares the descriptor may have set it non-blocking
                poll = select.poll()
                poll.register(self._descriptor, select.POLLOUT)
                poll.poll()


class Log:
    """The only log of a process. Until `begin` it writes with the default settings of loguru."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.options = Options()
        self.instance = ""
        self.writer: Writer | None = None
        self.format_errors = 0  # number of events that could not be formatted
        self._now = now
        self._format: Callable[[Event[...], Mapping[str, Any]], str] = as_text
        self._lost_reported = 0

    def log(self, event: "Event[...]", fields: dict[str, Any]) -> None:
        """Logs an event within its rate limit. Never raises."""
        now = self._now()
        left_out = event.rate.allow(now)
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        try:
            self._write(event, fields)
        except Exception:  # a value that can't be formatted must not break the code that logs it
            self.format_errors += 1
        has_room = self.writer is not None and self.writer.queued_bytes < MAX_QUEUED_BYTES // 2
        if self._newly_lost and has_room and lines_lost.rate.allow(now) is not None:
            self._report_lost()

    @property
    def _newly_lost(self) -> bool:
        return self.lost != self._lost_reported

    def _report_lost(self) -> None:
        self._lost_reported = self.lost
        self._write(lines_lost, {"lines": self.lost})

    @property
    def lost(self) -> int:
        return self.writer.lost if self.writer is not None else 0

    def _write(self, event: "Event[...]", fields: Mapping[str, Any]) -> None:
        exception = fields["error"] if event.trace and self._format is as_text else None
        logger.opt(exception=exception).log(event.level.upper(), self._format(event, fields))

    def begin(self, options: Options, instance: str, descriptor: int) -> None:
        """Starts to write to the descriptor, with these options."""
        self.writer = Writer(descriptor)
        self._lost_reported = 0
        self.instance = instance
        self.set_options(options)

    def set_options(self, options: Options) -> None:
        """Applies options to all further lines; lines that are queued already are kept."""
        self.options = options
        self._format = as_text if options.form == "text" else json_form(self.instance)
        line_format = "{time:HH:mm:ss.SSS} {level} {message}" if options.form == "text" else "{message}"
        for event in EVENTS.values():
            event.set_options(options)
        logger.remove()
        if self.writer is not None:
            logger.add(self.writer.put, level="DEBUG", format=line_format, backtrace=False, catch=False)

    def finish(self) -> None:
        """Logs the numbers of lines left out and lost, and waits for the last lines to be written."""
        for event in EVENTS.values():
            if left_out := event.rate.take_left_out():
                events_left_out(kind=event.name, lines=left_out)
        if self.writer is not None:
            if self._newly_lost:
                self._report_lost()
            self.writer.finish()


# ---- forms ----


def as_text(event: "Event[...]", fields: Mapping[str, Any]) -> str:
    """Formats an event as a single printable line, whatever its fields hold."""
    text = event.text.format_map({name: _format_value(value) for name, value in fields.items()})
    if "left_out" in fields:
        text += f" ({fields['left_out']} more were left out)"
    if not text.isprintable():
        text = "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
    return text[:TEXT_CHARS]


def _format_value(value: Any) -> Any:
    if isinstance(value, Mapping):
        return " ".join(f"{name}={inner}" for name, inner in value.items())
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return value.name.lower() if isinstance(value, Enum) else value


def json_form(instance: str) -> Callable[[Event[...], Mapping[str, Any]], str]:
    """Returns a function that formats an event of this instance as a line of JSON."""
    from msgspec import json  # imported only where it is used, to keep other starts fast

    def as_json(event: "Event[...]", fields: Mapping[str, Any]) -> str:
        now = datetime.now(UTC).isoformat(timespec="microseconds").replace("+00:00", "Z")
        line = {"time": now, "level": event.level, "event": event.name, "instance": instance}
        line |= {name: _to_json_value(value) for name, value in fields.items()}
        if event.trace:
            line["trace"] = _to_json_value("".join(traceback.format_exception(fields["error"])))
        return json.encode(line).decode()

    return as_json


def _to_json_value(value: Any) -> Any:
    """Returns the value in types of JSON; other types become texts of valid Unicode."""
    match value:
        case None | bool() | float():
            return value
        case int():
            return value if -(2**63) <= value < 2**63 else str(value)
        case Enum():
            return value.name.lower()
        case Mapping():
            return {_to_json_value(str(name)): _to_json_value(inner) for name, inner in value.items()}
        case list() | tuple():
            return [_to_json_value(inner) for inner in value]
        case bytes():
            return value[:FIELD_CHARS].decode("utf-8", "backslashreplace")
        case str():
            return value[:FIELD_CHARS].encode("utf-8", "backslashreplace").decode()
        case _:
            return _to_json_value(repr(value))


# ---- functions for the rest of the program ----


def begin(options: Options, instance: str = "", descriptor: int | None = None) -> None:
    """Starts to log to the descriptor, or to standard error if that is open."""
    if descriptor is None:  # if standard error is closed, descriptor 2 may become a client's socket
        descriptor = 2 if sys.stderr is not None else os.open(os.devnull, os.O_WRONLY)
    _log.begin(options, instance, descriptor)


def set_options(options: Options) -> None:
    """Applies other options, as after a reload."""
    _log.set_options(options)


def finish() -> None:
    """Logs the numbers of lines left out and lost, and waits for the last lines to be written."""
    _log.finish()


def lost() -> int:
    """Returns the number of lines that could not be written since the start."""
    return _log.lost


EVENTS: Final[dict[str, Event[...]]] = {}
_log: Final = Log()


@event(
    "log.lost",
    "warning",
    "log: {lines} lines are lost so far: it could not be written fast enough",
    rate=(0.2, 1),
)
def lines_lost(*, lines: int) -> None:
    """Logged when lines were lost because standard error blocked, and it accepts lines again."""


@event("log.left_out", "info", "log: {lines} more of {kind} were left out", rate=(1.0, 200))
def events_left_out(*, kind: str, lines: int) -> None:
    """Logged at exit for each event that exceeded its rate limit and was not logged again since."""
