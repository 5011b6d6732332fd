"""One push server as a fluid queue, whose backlog is computed in closed form between two events."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto

from glenfold_lab.model.fleet import Machine
from glenfold_lab.model.wire import Call


class Stage(Enum):
    """The stage of a server's process."""

    RUNS = auto()
    DRAINS = auto()
    DOWN = auto()


@dataclass(slots=True, eq=False)
class SetUp:
    """A queued connection set-up.

    `end` is the total work at which the set-up is finished. `left_out` is the part of its work that is
    skipped because its relay closed the call.
    """

    call: Call
    end: float
    work: float
    gone: bool = False
    left_out: float = 0.0


class Server:
    """Times in microseconds; work in microseconds on a standard core, loads in such work a second.

    Every change of demand or capacity follows a call of `advance`, so that both are constant between two
    events. Work is done in order of arrival, however the capacity changes: a set-up is finished when
    `work_done` has reached its `end`.
    """

    __slots__ = (
        "machine",
        "cap",
        "queue",
        "table_tax",
        "group_cost",
        "stage",
        "silent",
        "is_unresponsive",
        "life",
        "started",
        "cold",
        "neighbour",
        "is_stalled",
        "base_capacity",
        "capacity_per_connection",
        "demand",
        "backlog",
        "total_work",
        "left_out",
        "updated_at",
        "standing",
        "waiting",
        "set_up_queue",
        "parked",
        "groups",
        "set_up_work",
        "set_up_load",
        "wait_us",
        "arrivals",
    )

    def __init__(self, machine: Machine, mean_load: float, table_tax: float, group_cost: float) -> None:
        self.machine = machine
        self.cap = max(1, int(machine.kind.cap * machine.capacity / mean_load))
        self.queue = max(1, int(machine.kind.queue * machine.kind.cores))
        self.table_tax, self.group_cost = table_tax, group_cost
        self.stage = Stage.DOWN
        self.silent = False  # No packet reaches or leaves the server.
        self.life = 0  # Number of the current process.
        self.started = 0  # 0 for long ago.
        self.neighbour = 0.0  # The share of its cores that neighbours take.
        self.is_stalled = False
        self.updated_at = 0
        self.clear()

    def clear(self) -> None:
        """Resets all state of the process, for a new one."""
        self.life += 1
        self.cold = False
        self.is_unresponsive = False  # The relays have been notified that lines go unanswered.
        # Capacity without connections, and the part of it that each connection takes.
        self.base_capacity = self.capacity_per_connection = 0.0
        self.demand = self.backlog = 0.0
        self.total_work = 0.0  # All work so far, with the backlog.
        self.left_out = 0.0  # Queued work that will be skipped.
        self.standing: dict[int, Call] = {}  # By request.
        self.waiting: dict[int, SetUp] = {}  # By request, until answered.
        self.set_up_queue: deque[SetUp] = deque()  # Unfinished and skipped set-ups.
        self.parked: dict[int, Call] = {}  # By the client's number.
        self.groups: dict[int, int] = {}
        self.set_up_work = 0.0  # Since the last tick.
        self.set_up_load = 0.0
        self.wait_us = 0.0  # Mean wait of a message behind others, without the backlog.
        self.arrivals: deque[int] = deque()  # Times of new connections while the server is cold.

    @property
    def running(self) -> bool:
        return self.stage is not Stage.DOWN

    @property
    def held(self) -> int:
        """The number of connections in the table: standing, being set up and parked."""
        return len(self.standing) + len(self.waiting) + len(self.parked)

    def capacity(self) -> float:
        """Returns the current capacity, which falls as the connection table fills."""
        return self.base_capacity - self.capacity_per_connection * min(
            self.cap, len(self.standing) + len(self.parked)
        )

    def warmth(self, now: int) -> float:
        """Returns the available share of the capacity at `now`, which grows linearly from the start."""
        if not self.cold:
            return 1.0
        first = self.machine.kind.cold_from
        return min(1.0, first + (1 - first) * (now - self.started) / max(1, self.machine.kind.cold_us))

    def refresh(self, now: int) -> None:
        """Updates the capacity for warmth, neighbours and a stall."""
        self.advance(now)
        warmth = self.warmth(now)
        self.cold = self.cold and warmth < 1
        self.base_capacity = 0.0 if self.is_stalled else self.machine.capacity * warmth * (1 - self.neighbour)
        self.capacity_per_connection = self.base_capacity * self.table_tax / self.cap

    def advance(self, now: int) -> None:
        """Adds the work since the last update and reduces the backlog by what was done."""
        if now <= self.updated_at:
            return
        seconds, self.updated_at = (now - self.updated_at) * 1e-6, now
        work = self.demand * seconds
        self.total_work += work
        self.backlog = max(0.0, self.backlog + work - self.capacity() * seconds)

    @property
    def work_done(self) -> float:
        """The amount of work done so far."""
        return self.total_work - self.backlog - self.left_out

    def backlog_us(self) -> float:
        """Returns how long the backlog takes, in microseconds."""
        capacity = self.capacity()
        if capacity > 0:
            return self.backlog / capacity * 1e6
        return float("inf") if self.backlog else 0.0

    def enqueue(self, call: Call, work: float) -> None:
        """Adds the set-up of a connection to the queue."""
        self.total_work += work
        self.backlog += work
        self.set_up_work += work
        set_up = self.waiting[call.request] = SetUp(call, self.total_work, work)
        self.set_up_queue.append(set_up)

    def abandon(self, call: Call) -> None:
        """Abandons a set-up whose relay closed the call: its remaining work is skipped."""
        set_up = self.waiting.pop(call.request)
        set_up.gone = True
        set_up.left_out = max(0.0, min(set_up.work, set_up.end - self.work_done, self.backlog))
        self.backlog -= set_up.left_out
        self.left_out += set_up.left_out

    def drop(self, work: float) -> None:
        """Drops the latest work of the backlog, which exceeds the buffer."""
        self.backlog -= work
        self.total_work -= work

    def pop_finished(self) -> list[SetUp]:
        """Removes and returns the finished set-ups. Skipped work takes no time."""
        done: list[SetUp] = []
        while self.set_up_queue and self.work_before_head() <= 1:
            head = self.set_up_queue.popleft()
            self.left_out -= head.left_out
            if not head.gone:
                done.append(head)
        return done

    def work_before_head(self) -> float:
        """Returns the work that remains until the first queued set-up is finished or skipped."""
        head = self.set_up_queue[0]
        return head.end - head.left_out - self.work_done

    def add_standing(self, call: Call) -> None:
        self.standing[call.request] = call
        self.demand += call.load
        self._join(call)

    def remove_standing(self, call: Call) -> None:
        del self.standing[call.request]
        self.demand -= call.load
        self._leave(call)

    def park(self, call: Call) -> None:
        """Parks a connection: its load ends, but its place in the table and its group's load remain."""
        del self.standing[call.request]
        self.demand -= call.load
        self.parked[call.connection] = call

    def unpark(self, call: Call) -> None:
        del self.parked[call.connection]
        self._leave(call)

    def _join(self, call: Call) -> None:
        if call.group:
            present = self.groups.get(call.group, 0)
            self.groups[call.group] = present + 1
            if not present:
                self.demand += self.group_cost

    def _leave(self, call: Call) -> None:
        if call.group:
            present = self.groups[call.group] - 1
            if present:
                self.groups[call.group] = present
            else:
                del self.groups[call.group]
                self.demand -= self.group_cost
        if not self.groups and not self.standing:
            self.demand = 0.0  # Removes rounding errors.
