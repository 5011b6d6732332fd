"""One push server as a fluid: work comes in, piles up and is done, in closed form between two events."""

from collections import deque
from enum import Enum, auto

from glenfold_lab.model.fleet import Machine
from glenfold_lab.model.wire import Call


class Stage(Enum):
    RUNS = auto()
    DRAINS = auto()
    DOWN = auto()


class Server:
    """Times in microseconds; work in microseconds on a standard core, loads in such work a second.

    All that changes the demand or the capacity comes after `advance`, so that both hold from one event to
    the next. `served` is all work done so far: what arrives is done when that has grown by what was piled up
    before it and by its own work, whatever happens to the capacity meanwhile.
    """

    __slots__ = (
        "machine", "cap", "queue", "table_tax", "group_cost",
        "stage", "silent", "quiet", "life", "started", "cold", "neighbour", "jammed",
        "base", "taken_each", "demand", "piled", "served", "at",
        "standing", "waiting", "parked", "groups",
        "set_up_work", "set_up_load", "wait_us", "arrivals",
    )

    def __init__(self, machine: Machine, mean_load: float, table_tax: float, group_cost: float) -> None:
        self.machine = machine
        self.cap = max(1, int(machine.kind.cap * machine.capacity / mean_load))
        self.queue = max(1, int(machine.kind.queue * machine.kind.cores))
        self.table_tax, self.group_cost = table_tax, group_cost
        self.stage = Stage.DOWN
        self.silent = False     # nothing reaches it, nothing leaves it
        self.life = 0           # which of its processes this is
        self.started = 0        # 0: long ago
        self.neighbour = 0.0    # the share of its cores that others take
        self.jammed = False
        self.at = 0
        self.clear()

    def clear(self) -> None:
        """As a process begins: with nothing."""
        self.life += 1
        self.cold = False
        self.quiet = False      # its connections have been told that lines go unanswered
        self.base = self.taken_each = 0.0  # capacity, and what each connection in the table takes of it
        self.demand = self.piled = self.served = 0.0
        self.standing: dict[int, Call] = {}  # by request
        self.waiting: dict[int, tuple[Call, float, float]] = {}  # also; where it ends in `served`, its work
        self.parked: dict[int, Call] = {}    # by the client's number
        self.groups: dict[int, int] = {}
        self.set_up_work = 0.0  # since the last tick
        self.set_up_load = 0.0
        self.wait_us = 0.0      # mean wait of a message behind others, but for what is piled up
        self.arrivals: deque[int] = deque()  # new connections, while it is cold

    @property
    def running(self) -> bool:
        return self.stage is not Stage.DOWN

    @property
    def held(self) -> int:
        return len(self.standing) + len(self.waiting) + len(self.parked)

    def capacity(self) -> float:
        return self.base - self.taken_each * min(self.cap, len(self.standing) + len(self.parked))

    def warmth(self, now: int) -> float:
        """The share of its capacity that it has by then; grows evenly from its start."""
        if not self.cold:
            return 1.0
        first = self.machine.kind.cold_from
        return min(1.0, first + (1 - first) * (now - self.started) / max(1, self.machine.kind.cold_us))

    def refresh(self, now: int) -> None:
        """Takes in what bears on the capacity: warmth, neighbours, a jam."""
        self.advance(now)
        warmth = self.warmth(now)
        self.cold = self.cold and warmth < 1
        self.base = 0.0 if self.jammed else self.machine.capacity * warmth * (1 - self.neighbour)
        self.taken_each = self.base * self.table_tax / self.cap

    def advance(self, now: int) -> None:
        if now <= self.at:
            return
        seconds, self.at = (now - self.at) * 1e-6, now
        done = self.capacity() * seconds
        self.piled += self.demand * seconds - done
        if self.piled < 0:
            done += self.piled
            self.piled = 0.0
        self.served += done

    def pile_us(self) -> float:
        """For how long it works on what is piled up."""
        capacity = self.capacity()
        if capacity > 0:
            return self.piled / capacity * 1e6
        return float("inf") if self.piled else 0.0

    def queue_up(self, call: Call, work: float) -> float:
        """A set-up more; gives where it ends in `served`."""
        end = self.served + self.piled + work
        self.piled += work
        self.set_up_work += work
        self.waiting[call.request] = call, end, work
        return end

    def give_up(self, call: Call) -> None:
        """A set-up whose relay has gone: what is left of its work is not done."""
        _, end, work = self.waiting.pop(call.request)
        self.skip(min(work, end - self.served))

    def skip(self, work: float) -> None:
        """Work that is piled up and will not be done; what stands behind it moves up."""
        left_out = min(self.piled, max(0.0, work))
        self.piled -= left_out
        self.served += left_out

    def put(self, call: Call) -> None:
        self.standing[call.request] = call
        self.demand += call.load
        self._join(call)

    def take_off(self, call: Call) -> None:
        del self.standing[call.request]
        self.demand -= call.load
        self._leave(call)

    def park(self, call: Call) -> None:
        """Its packets stop, so that it brings no work; its place in the table and its group's work stay."""
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
            self.demand = 0.0  # what rounding has left
