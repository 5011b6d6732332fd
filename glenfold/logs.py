"""Structured logs: events with stable names and fields, as text for people or JSON lines for machines.

The events are in `glenfold.events`; a call of one is all that the rest of the program knows of logs. One that
is off by its level costs a look at a flag; nothing is formatted for it. Each is limited in its rate, and what
was left out is told with the next one. Lines go to a thread of their own (`Writer`), so that a log that
blocks or fails costs lines, but never holds up or ends a relay.
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
FIELD_CHARS = 2000  # longer texts in fields are cut
TEXT_CHARS = 4000  # longer lines of the text form are cut
HELD_BYTES = 1 << 20  # lines that wait to be written; more are lost
PARTING_S = 0.2  # that the last lines have at the end
OWN_FIELDS: Final = frozenset({"time", "level", "event", "instance", "left_out", "trace"})

P = ParamSpec("P")


@dataclass(frozen=True, slots=True)
class Terms:
    """`level`: the least that is logged, one of LEVELS. `levels`: others for single events or groups of them,
    by name or its first words (`client` holds for `client.malformed`); the longest that fits goes first.
    `form`: one of FORMS. `per_s` and `burst`: how many lines each event may have, where it has no terms of
    its own. Raises ValueError, which names the key and what would be right."""

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
        fitting = [prefix for prefix in self.levels if f"{name}.".startswith(f"{prefix}.")]
        return self.levels[max(fitting, key=len)] if fitting else self.level


class Event(Generic[P]):
    """One kind of event; a call with its fields logs it, and raises nothing."""

    __slots__ = ("name", "level", "text", "fields", "own_rate", "trace", "on", "rate")

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
        self.text = text  # of the text form, with {fields}
        self.fields = fields
        self.own_rate = own_rate  # per_s, burst
        self.trace = trace  # where its field `error` was raised is logged, too
        self.take_terms(_log.terms)

    def take_terms(self, terms: Terms) -> None:
        self.on = LEVELS[self.level] >= LEVELS[terms.level_of(self.name)]
        self.rate = RateLimit(*(self.own_rate or (terms.per_s, terms.burst)))

    def __call__(self, *nothing: P.args, **fields: P.kwargs) -> None:
        if self.on:
            _log.take(self, fields)


def event(
    name: str, level: str, text: str, *, rate: tuple[float, int] | None = None, trace: bool = False
) -> Callable[[Callable[P, None]], Event[P]]:
    """Makes an event of a function whose keyword-only parameters are its fields, and whose docstring says
    when it happens. `rate`: at most so many a second, and so many at once."""

    def register(fields_of: Callable[P, None]) -> Event[P]:
        if name in EVENTS:
            raise ValueError(f"there are two events {name}")
        code = fields_of.__code__
        made: Event[P] = Event(name, level, text, code.co_varnames[: code.co_kwonlyargcount], rate, trace)
        EVENTS[name] = made
        return made

    return register


class Writer:
    """Writes lines to a descriptor in a thread of its own. `put` never waits: what does not fit within
    HELD_BYTES, or can't be written, is counted as lost."""

    def __init__(self, descriptor: int) -> None:
        self.refused = 0  # for want of room; only `put` counts here
        self.failed = 0  # by the descriptor; only the thread counts here
        self._descriptor = descriptor
        self._lines: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._put = 0  # bytes ever; only `put` counts here
        self._done = 0  # of these; only the thread counts here
        self._over = threading.Event()
        threading.Thread(target=self._run, name="log", daemon=True).start()

    @property
    def lost(self) -> int:
        return self.refused + self.failed

    @property
    def held(self) -> int:
        """Bytes that wait to be written."""
        return self._put - self._done

    def put(self, message: str) -> None:
        """By one caller at a time, which loguru sees to."""
        line = message.encode("utf-8", "backslashreplace")
        if self.held + len(line) > HELD_BYTES:
            self.refused += 1
            return
        self._put += len(line)
        self._lines.put(line)

    def finish(self) -> None:
        """The lines so far have PARTING_S to get out; a log that takes none does not keep the relay."""
        self._lines.put(None)
        self._over.wait(PARTING_S)

    def _run(self) -> None:
        torn = b""
        while (line := self._lines.get()) is not None:
            left = memoryview(torn + line)
            try:
                while left:
                    left = left[self._write(left) :]
                torn = b""
            except OSError:
                self.failed += 1
                torn = b"\n" if left.nbytes < len(torn + line) else torn
            self._done += len(line)
        self._over.set()

    def _write(self, data: memoryview) -> int:
        while True:
            try:
                return os.write(self._descriptor, data)
            except BlockingIOError:  # whoever shares the descriptor may have made it so
                poll = select.poll()
                poll.register(self._descriptor, select.POLLOUT)
                poll.poll()


class Log:
    """The one log of a process: loguru's as it is, until `begin`."""

    def __init__(self, now: Callable[[], float] = time.monotonic) -> None:
        self.terms = Terms()
        self.instance = ""
        self.writer: Writer | None = None
        self.faults = 0  # events that could not be formatted
        self._now = now
        self._form: Callable[[Event[...], Mapping[str, Any]], str] = as_text
        self._lost_told = 0

    def take(self, event: "Event[...]", fields: dict[str, Any]) -> None:
        now = self._now()
        left_out = event.rate.allow(now)
        if left_out is None:
            return
        if left_out:
            fields["left_out"] = left_out
        try:
            self._write(event, fields)
        except Exception:  # a value that can't be shown must not end what it happened in
            self.faults += 1
        room = self.writer is not None and self.writer.held < HELD_BYTES // 2
        if self._newly_lost and room and lines_lost.rate.allow(now) is not None:
            self._tell_lost()

    @property
    def _newly_lost(self) -> bool:
        return self.lost != self._lost_told

    def _tell_lost(self) -> None:
        self._lost_told = self.lost
        self._write(lines_lost, {"lines": self.lost})

    @property
    def lost(self) -> int:
        return self.writer.lost if self.writer is not None else 0

    def _write(self, event: "Event[...]", fields: Mapping[str, Any]) -> None:
        traced = fields["error"] if event.trace and self._form is as_text else None
        logger.opt(exception=traced).log(event.level.upper(), self._form(event, fields))

    def begin(self, terms: Terms, instance: str, descriptor: int) -> None:
        self.writer = Writer(descriptor)
        self._lost_told = 0
        self.instance = instance
        self.take_terms(terms)

    def take_terms(self, terms: Terms) -> None:
        """From now on; the lines so far are not lost."""
        self.terms = terms
        self._form = as_text if terms.form == "text" else json_form(self.instance)
        look = "{time:HH:mm:ss.SSS} {level} {message}" if terms.form == "text" else "{message}"
        for event in EVENTS.values():
            event.take_terms(terms)
        logger.remove()
        if self.writer is not None:
            logger.add(self.writer.put, level="DEBUG", format=look, backtrace=False, catch=False)

    def finish(self) -> None:
        """Tells what was left out, and gives the last lines a moment to get out."""
        for event in EVENTS.values():
            if left_out := event.rate.take_left_out():
                events_left_out(kind=event.name, lines=left_out)
        if self.writer is not None:
            if self._newly_lost:
                self._tell_lost()
            self.writer.finish()


# ---- forms ----


def as_text(event: "Event[...]", fields: Mapping[str, Any]) -> str:
    """One line, whatever the fields hold."""
    text = event.text.format_map({name: _in_words(value) for name, value in fields.items()})
    if "left_out" in fields:
        text += f" ({fields['left_out']} more were left out)"
    if not text.isprintable():
        text = "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)
    return text[:TEXT_CHARS]


def _in_words(value: Any) -> Any:
    if isinstance(value, Mapping):
        return " ".join(f"{name}={inner}" for name, inner in value.items())
    if isinstance(value, list | tuple):
        return ", ".join(map(str, value))
    return value.name.lower() if isinstance(value, Enum) else value


def json_form(instance: str) -> Callable[[Event[...], Mapping[str, Any]], str]:
    from msgspec import json  # nobody else pays for it

    def as_json(event: "Event[...]", fields: Mapping[str, Any]) -> str:
        now = datetime.now(UTC).isoformat(timespec="microseconds").replace("+00:00", "Z")
        line = {"time": now, "level": event.level, "event": event.name, "instance": instance}
        line |= {name: _plain(value) for name, value in fields.items()}
        if event.trace:
            line["trace"] = _plain("".join(traceback.format_exception(fields["error"])))
        return json.encode(line).decode()

    return as_json


def _plain(value: Any) -> Any:
    """In what JSON has; what else there is as text that is whole Unicode."""
    match value:
        case None | bool() | float():
            return value
        case int():
            return value if -(2**63) <= value < 2**63 else str(value)
        case Enum():
            return value.name.lower()
        case Mapping():
            return {_plain(str(name)): _plain(inner) for name, inner in value.items()}
        case list() | tuple():
            return [_plain(inner) for inner in value]
        case bytes():
            return value[:FIELD_CHARS].decode("utf-8", "backslashreplace")
        case str():
            return value[:FIELD_CHARS].encode("utf-8", "backslashreplace").decode()
        case _:
            return _plain(repr(value))


# ---- what others call ----


def begin(terms: Terms, instance: str = "", descriptor: int | None = None) -> None:
    """From now on the log goes to that descriptor, or to standard error if there is one."""
    if descriptor is None:  # where standard error was closed, its number may become a client's socket
        descriptor = 2 if sys.stderr is not None else os.open(os.devnull, os.O_WRONLY)
    _log.begin(terms, instance, descriptor)


def take_terms(terms: Terms) -> None:
    """Other terms, after a reload."""
    _log.take_terms(terms)


def finish() -> None:
    _log.finish()


def lost() -> int:
    """Lines that could not be written, since the start."""
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
    """Standard error took no lines, or not fast enough; it does now."""


@event("log.left_out", "info", "log: {lines} more of {kind} were left out", rate=(1.0, 200))
def events_left_out(*, kind: str, lines: int) -> None:
    """At the end: an event came more often than its rate allows, and was not let through again since."""
