"""One hollow relay: it follows discovery as a relay does, places nobody, and notes what came when. No I/O.

`HollowWatcher` is told of connections, bytes and the time, and answers with the bytes to send. It gives up a
parent that is silent, waits with jitter as relays do, obeys Retry-After, and goes on from the revision it
knows, at the next of its parents if the last one failed.
"""

import enum
import random
from array import array
from collections.abc import Sequence
from dataclasses import dataclass, field

from glenfold.config import Address
from glenfold.net.discovery import (
    ASKING_TIMEOUT_S,
    CALL_SPREAD_S,
    MAX_BACKOFF_FACTOR,
    MAX_WATCH_SILENCE_S,
    RETRY_DELAY_S,
)
from glenfold.rules.backoff import Backoff
from glenfold_lab.scale.hollow_http import AnswerReader, BadAnswer, ChunkTable
from glenfold_lab.scale.hollow_list import BadLine, ListLine, Lists, ListState

WINDOW_S = 1.0  # bytes are counted in windows of this length
OK = 200
UNAVAILABLE = 503


class Phase(enum.Enum):
    WAITING = enum.auto()
    CONNECTING = enum.auto()
    WHOLE = enum.auto()
    WATCHING = enum.auto()


class Fault(Exception):
    """The connection is of no more use. `busy`: the parent refused the call as one too many."""

    def __init__(self, words: str, busy: bool = False, retry_after_s: float = 0.0) -> None:
        super().__init__(words)
        self.busy = busy
        self.retry_after_s = retry_after_s


@dataclass(frozen=True, slots=True)
class Delivery:
    """A line that led from one state to another; shared by all watchers to which it did the same.
    `stamps`: of its entries, by host; of a whole list none are kept. `digest`: of the state after it."""

    known: int  # the revision known before; 0: none
    revision: int
    whole: bool
    digest: int
    stamps: dict[str, int]


class Deliveries:
    """The distinct ones of one process, by number."""

    def __init__(self) -> None:
        self.all: list[Delivery] = []
        self._numbers: dict[tuple[int, int, int], int] = {}

    def number(self, before: ListState | None, line: ListLine, after: ListState) -> int:
        known, known_digest = (before.revision, before.digest) if before is not None else (0, 0)
        key = (known, known_digest, line.number)
        found = self._numbers.get(key)
        if found is None:
            found = self._numbers[key] = len(self.all)
            stamps = {} if line.whole else dict(line.stamps)
            self.all.append(Delivery(known, line.revision, line.whole, after.digest, stamps))
        return found


@dataclass(slots=True)
class WatcherLog:
    """What one watcher got. `at_us` and `deliveries` go together. `most_in_window`: bytes."""

    at_us: "array[int]" = field(default_factory=lambda: array("q"))
    deliveries: "array[int]" = field(default_factory=lambda: array("I"))
    drains: int = 0
    empty_lines: int = 0
    bytes_read: int = 0
    most_in_window: int = 0
    connects: int = 0
    refused: int = 0  # answers 503
    faults: dict[str, int] = field(default_factory=dict)
    final_revision: int = 0
    final_digest: int = 0


class HollowWatcher:
    """`parents`: in order of preference. `spread_s`: over which all relays' calls are spread. Moments are
    seconds of the machine's monotonic clock."""

    def __init__(
        self,
        parents: Sequence[Address],
        lists: Lists,
        deliveries: Deliveries,
        chunks: ChunkTable,
        spread_s: float,
        chance: random.Random,
    ) -> None:
        self._parents = parents
        self._parent = 0
        self._not_before = [0.0] * len(parents)  # which of them said so by Retry-After
        self._lists = lists
        self._deliveries = deliveries
        self._chunks = chunks
        self._backoff = Backoff(RETRY_DELAY_S, spread_s, MAX_BACKOFF_FACTOR, chance, CALL_SPREAD_S)
        self._chance = chance
        self._state: ListState | None = None
        self._answer = AnswerReader(chunks)
        self._body = bytearray()
        self._window = 0
        self._in_window = 0
        self.phase = Phase.WAITING
        self.due_at = 0.0  # the next call, or the end of patience
        self.log = WatcherLog()

    @property
    def parent(self) -> Address:
        return self._parents[self._parent]

    @property
    def revision(self) -> int:
        return self._state.revision if self._state is not None else 0

    # ---- what befalls it ----

    def connecting(self, now: float) -> None:
        self.phase = Phase.CONNECTING
        self.due_at = now + ASKING_TIMEOUT_S

    def connected(self) -> bytes:
        """The request to send."""
        self.log.connects += 1
        self._body.clear()
        return self._ask_watch() if self._state is not None else self._ask_whole()

    def received(self, data: bytes, now: float) -> bytes:
        """The request to send next, if any. Raises Fault."""
        if not data:
            raise Fault("closed")
        self._count(len(data), now)
        try:
            body = self._answer.feed(data)
        except BadAnswer as error:
            raise Fault("bad answer") from error
        if self._answer.head is not None and self._answer.head.status != OK:
            raise self._refusal(self._answer.head.status, self._answer.head.fields)
        if self.phase is Phase.WHOLE:
            return self._take_whole(body, now)
        if body:
            self._take_lines(body, now)
        if self._answer.ended:
            raise Fault("ended")
        return b""

    def failed(self, fault: Fault, now: float) -> None:
        """The connection is closed; another call follows, at the next parent."""
        words = str(fault)
        self.log.faults[words] = self.log.faults.get(words, 0) + 1
        self.phase = Phase.WAITING
        if fault.retry_after_s:
            wait_s = fault.retry_after_s * self._chance.uniform(1.0, 1.5)
            self._not_before[self._parent] = now + wait_s
        self.due_at = now + self._backoff.again_s(fault.busy and not fault.retry_after_s)
        self._parent = self._next_parent()
        self.due_at = max(self.due_at, self._not_before[self._parent])

    def _next_parent(self) -> int:
        """The next in order that may be called when the call is due, else the one that may be first."""
        count = len(self._parents)
        order = [(self._parent + n) % count for n in range(1, count + 1)]
        free = [parent for parent in order if self._not_before[parent] <= self.due_at]
        return free[0] if free else min(order, key=lambda parent: self._not_before[parent])

    def forget(self) -> None:
        """It starts anew and knows no list."""
        self._state = None

    def return_at(self, moment: float) -> None:
        """It has closed, and calls again, at the preferred parent, at `moment`."""
        self.phase = Phase.WAITING
        self._parent = 0
        self.due_at = moment

    def closed_log(self) -> WatcherLog:
        """With how it stands."""
        if self._state is not None:
            self.log.final_revision, self.log.final_digest = self._state.revision, self._state.digest
        return self.log

    def begin_log(self) -> None:
        """What was read before counts for nothing in it."""
        self.log = WatcherLog()
        self._in_window = 0

    # ---- requests and answers ----

    def _ask_whole(self) -> bytes:
        self.phase = Phase.WHOLE
        return self._request("/v1/servers")

    def _ask_watch(self) -> bytes:
        self.phase = Phase.WATCHING
        return self._request(f"/v1/servers?watch=1&from={self.revision}")

    def _request(self, target: str) -> bytes:
        self._answer = AnswerReader(self._chunks)
        host, port = self.parent
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    def _refusal(self, status: int, fields: dict[str, str]) -> Fault:
        if status != UNAVAILABLE:
            if status < 500:
                self.forget()  # as a relay, which takes it for a list that is none
            return Fault(f"status {status}")
        self.log.refused += 1
        after = fields.get("retry-after", "")
        return Fault("status 503", busy=True, retry_after_s=float(after) if after.isdigit() else 0.0)

    def _take_whole(self, body: bytes, now: float) -> bytes:
        self._body += body
        self.due_at = now + ASKING_TIMEOUT_S
        if not self._answer.ended:
            return b""
        text = bytes(self._body)
        self._body.clear()
        self._take(text, now)
        return self._ask_watch()

    def _take_lines(self, body: bytes, now: float) -> None:
        if self._body:
            self._body += body
            body = bytes(self._body)
            self._body.clear()
        *lines, rest = body.split(b"\n")
        self._body += rest
        for line in lines:
            if line.strip():
                self._take(line, now)
            else:
                self.log.empty_lines += 1
        if lines:
            self.due_at = now + MAX_WATCH_SILENCE_S
            self._backoff.worked()

    def _take(self, text: bytes, now: float) -> None:
        try:
            line = self._lists.line(text)
        except BadLine as error:
            self.forget()  # as a relay, which asks for the whole list after what is none
            raise Fault("bad line") from error
        before, self._state = self._state, self._lists.state(self._state, line)
        self.log.at_us.append(round(now * 1e6))
        self.log.deliveries.append(self._deliveries.number(before, line, self._state))
        if not line.whole:
            self.log.drains += line.draining

    def _count(self, size: int, now: float) -> None:
        window = int(now / WINDOW_S)
        self._in_window = size + (self._in_window if window == self._window else 0)
        self._window = window
        self.log.bytes_read += size
        self.log.most_in_window = max(self.log.most_in_window, self._in_window)
