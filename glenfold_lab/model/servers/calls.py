"""Push servers as relays see them: attempts, standing connections and their ends."""

import math
from collections.abc import Callable, Iterator

import numpy as np

from glenfold.net.passing import SERVER_SILENCE_TIMEOUT_S
from glenfold_lab.checker.cold import exceeds_budget
from glenfold_lab.model.draw import DRAW_BLOCK, lognormals, value
from glenfold_lab.model.fleet import Fleet, Machine
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.network import Network
from glenfold_lab.model.servers.connection_counts import ConnectionCounts
from glenfold_lab.model.servers.messages import Messages, ServerSnapshot
from glenfold_lab.model.servers.server import Server, Stage
from glenfold_lab.model.servers.store import make_store
from glenfold_lab.model.wire import Call
from glenfold_lab.observe import AttemptOutcome, End, Watcher
from glenfold_lab.spec import Scenario
from glenfold_lab.streams import Streams

TICK_US = 250_000
SET_UP_SIGMA = 0.9  # Standard deviation of the logarithm of a set-up's work.
SET_UP_SPREAD = 0.1  # Mean random delay of a set-up, as a share of its own time.
SILENT_US = SERVER_SILENCE_TIMEOUT_S * SECOND_US
SHED_TARGET = 0.95  # A server sheds connections down to this share of its capacity.


class PushServers:
    """Implements `wire.Machines`. Servers go by their number, and by their index in tables."""

    def __init__(
        self,
        scenario: Scenario,
        streams: Streams,
        kernel: Kernel,
        watcher: Watcher,
        fleet: Fleet,
        network: Network,
    ) -> None:
        self.kernel, self.watcher, self.fleet, self.network = kernel, watcher, fleet, network
        self._rules = scenario.rules
        self._error_rate = value(scenario.servers.error_rate, streams.of("servers", "error_rate"))
        self._park_us = int(value(scenario.servers.park_s, streams.of("servers", "park")) * SECOND_US)
        self._set_up_work = [
            lognormals(
                value(kind.set_up_ms, streams.of("classes", "set_up", n)) * 1000,
                SET_UP_SIGMA,
                streams.of("servers", "set_ups", n),
            )
            for n, kind in enumerate(scenario.classes)
        ]
        self._spread = _exponentials(streams.of("servers", "spread"))
        self._error_rng = streams.of("servers", "errors")
        self._store = make_store(scenario, streams, fleet.parameters)
        aims = [kind.message_aim_ms * 1000 for kind in scenario.classes]
        self.messages = Messages(network, aims)
        self.placed = ConnectionCounts(len(network.names), len(scenario.classes), len(scenario.schemes))
        self.all: list[Server] = []
        self._by_number: dict[int, Server] = {}
        self.on_overload: Callable[[Server], None] = self.break_all
        network.on_change.append(self._zone_changed)
        for machine in fleet.machines:
            self.add(machine)

    def add(self, machine: Machine) -> Server:
        """Adds a machine whose process does not run yet."""
        parameters = self.fleet.parameters
        server = Server(machine, parameters.mean_load, self.fleet.table_tax, parameters.group_cost)
        self.all.append(server)
        self._by_number[machine.number] = server
        self.placed.add_server()
        self.messages.add_server(machine)
        return server

    # ---- attempts ----

    def call(self, call: Call) -> None:
        server = self._by_number[call.server]
        if not self._is_reachable(call, server):
            return
        delay_us = self._delay_us(call, server)
        call.sent_at = self.kernel.now + 2 * delay_us
        if server.running:
            self.kernel.after(3 * delay_us, self._arrive, call, server)
        else:
            self.kernel.after(delay_us, self._refuse, call, server)

    def _arrive(self, call: Call, server: Server) -> None:
        if call.dropped or not self._is_reachable(call, server):
            return
        now = self.kernel.now
        mid_flow = server.parked.get(call.connection) if call.mid_flow else None
        if not server.running or mid_flow is None and server.held >= server.cap:
            return self._refuse(call, server)
        call.arrived = True
        self.watcher.sent(now, call.request, call.relay, call.server, call.sent_at, mid_flow is not None)
        server.advance(now)
        if mid_flow is not None:
            server.unpark(mid_flow)
            call.resumed = True
            self._stand(call, server)
        elif server.cold and self._is_overloaded(server):
            self._answer(call, server, AttemptOutcome.RESET)
            self.on_overload(server)
        elif server.stage is Stage.DRAINS or now > call.deadline or len(server.waiting) >= server.queue:
            self._answer(call, server, AttemptOutcome.BUSY)
        else:
            self._set_up(call, server)

    def _is_overloaded(self, server: Server) -> bool:
        """Records a new connection and returns whether it is more than a cold server survives."""
        now, arrivals, rules = self.kernel.now, server.arrivals, self._rules
        arrivals.append(now)
        while arrivals[0] <= now - rules.fall_s * SECOND_US:
            arrivals.popleft()
        present = self.fleet.warm_per_s(server.machine) * server.warmth(now)
        budget = rules.fall_multiple * rules.fall_s * present
        return exceeds_budget(len(arrivals), budget)

    def _set_up(self, call: Call, server: Server) -> None:
        server.enqueue(call, next(self._set_up_work[call.request_class]))
        if len(server.set_up_queue) == 1:
            self._schedule_head(server)

    def _schedule_head(self, server: Server) -> None:
        """Schedules the completion of the first queued set-up, at the current capacity."""
        if server.set_up_queue:
            capacity = server.capacity()
            wait = server.work_before_head() / capacity * 1e6 if capacity > 0 else TICK_US
            wait_us = max(1, math.ceil(min(TICK_US, wait)))
            self.kernel.after(wait_us, self._finish_set_ups, server, server.life)

    def _finish_set_ups(self, server: Server, life: int) -> None:
        if server.life != life:
            return
        server.advance(self.kernel.now)
        capacity = server.capacity()
        for set_up in server.pop_finished():
            # The fluid model works on a set-up with all cores; a real server uses one core, and messages come
            # between.
            own = set_up.work / server.machine.speed
            remaining = max(0.0, own - set_up.work / capacity * 1e6) if capacity > 0 else 0.0
            spread = next(self._spread) * (SET_UP_SPREAD * own + server.wait_us)
            self.kernel.after(int(remaining + spread), self._ask_store, set_up.call, server)
        self._schedule_head(server)

    def _ask_store(self, call: Call, server: Server) -> None:
        if call.is_answered or call.dropped:
            return
        answer_us = self._store.answer_us(self.kernel.now) if self._store is not None else 0
        self.kernel.after(answer_us, self._finish, call, server)

    def _finish(self, call: Call, server: Server) -> None:
        if call.is_answered or call.dropped or not self._is_reachable(call, server):
            return
        server.advance(self.kernel.now)
        del server.waiting[call.request]
        if self.kernel.now > call.deadline:
            self._answer(call, server, AttemptOutcome.BUSY)
        elif self._error_rate and self._error_rng.uniform() < self._error_rate:
            self._answer(call, server, AttemptOutcome.ERROR)
        else:
            self._stand(call, server)

    def _stand(self, call: Call, server: Server) -> None:
        self._put(call, server)
        self._answer(call, server, AttemptOutcome.UP)

    def _refuse(self, call: Call, server: Server) -> None:
        if not call.dropped:
            self._answer(call, server, AttemptOutcome.REFUSED)

    def _answer(self, call: Call, server: Server, over: AttemptOutcome) -> None:
        call.is_answered = True
        self.watcher.attempt_over(self.kernel.now, call.request, call.server, over)
        if self._is_reachable(call, server):
            self.kernel.after(self._delay_us(call, server), self._replied, call, server, over)

    def _replied(self, call: Call, server: Server, over: AttemptOutcome) -> None:
        if call.dropped:
            return
        call.caller.replied(call, over)
        if call.is_standing and (server.is_unresponsive or not self._is_reachable(call, server)):
            call.caller.fell_silent(call)

    # ---- standing connections ----

    def resume(self, call: Call) -> bool:
        server = self._by_number[call.server]
        if not server.running or server.held >= server.cap:
            return False
        server.advance(self.kernel.now)
        call.arrived = call.is_answered = True
        self._put(call, server)
        return True

    def close(self, call: Call) -> None:
        if call.dropped:
            return
        call.dropped = True
        server = self._by_number[call.server]
        if call.is_standing:
            self._take_off(call, server)
        elif call.arrived and not call.is_answered:
            server.advance(self.kernel.now)
            server.abandon(call)
            self.watcher.attempt_over(self.kernel.now, call.request, call.server, AttemptOutcome.ABANDONED)

    def park(self, call: Call) -> None:
        if not call.is_standing:
            return self.close(call)
        server = self._by_number[call.server]
        server.advance(self.kernel.now)
        server.park(call)
        self._count(call, server, -1)
        call.is_standing = False
        self.kernel.after(self._park_us, self._forget_parked, call, server)

    def _forget_parked(self, call: Call, server: Server) -> None:
        if server.parked.get(call.connection) is call:
            server.advance(self.kernel.now)
            server.unpark(call)

    def change_load(self, call: Call, load: float) -> None:
        if call.is_standing:
            server = self._by_number[call.server]
            server.advance(self.kernel.now)
            server.demand += load - call.load
        call.load = load

    def way_us(self, call: Call) -> int:
        return 4 * self._delay_us(call, self._by_number[call.server])

    def answer_us(self, call: Call) -> int | None:
        server = self._by_number[call.server]
        if not call.is_standing or not self._is_reachable(call, server):
            return None
        server.advance(self.kernel.now)
        answer_time = (
            server.backlog_us() + server.wait_us + self.messages.message_work_us(server.machine.index)
        )
        delay_us = self.network.delay_us(self.network.zone_of(call.relay), server.machine.zone)
        return int(2 * delay_us + answer_time) if answer_time < float("inf") else None

    def break_off(self, call: Call, server: Server, how: End) -> None:
        """Ends a standing connection from the server's side."""
        self._take_off(call, server)
        if self._is_reachable(call, server):
            self.kernel.after(self._delay_us(call, server), self._ended, call, how)

    def break_all(self, server: Server) -> None:
        """Resets all standing connections and waiting attempts, as the process ends."""
        for set_up in list(server.waiting.values()):
            self._answer(set_up.call, server, AttemptOutcome.RESET)
        for call in list(server.standing.values()):
            self.break_off(call, server, End.BROKEN)
        server.clear()

    def _ended(self, call: Call, how: End) -> None:
        if not call.dropped:
            call.caller.ended(call, how)

    def _put(self, call: Call, server: Server) -> None:
        server.add_standing(call)
        self._count(call, server, 1)
        call.is_standing = True

    def _take_off(self, call: Call, server: Server) -> None:
        server.advance(self.kernel.now)
        server.remove_standing(call)
        self._count(call, server, -1)
        call.is_standing = False

    def _count(self, call: Call, server: Server, change: int) -> None:
        zone = self.network.zone_of(call.relay)
        self.placed.count(server.machine.index, zone, call.request_class, call.scheme, change)

    # ---- network ----

    def _is_reachable(self, call: Call, server: Server) -> bool:
        zone = self.network.zone_of(call.relay)
        return not server.silent and self.network.passes(zone, server.machine.zone)

    def _delay_us(self, call: Call, server: Server) -> int:
        return self.network.delay_us(self.network.zone_of(call.relay), server.machine.zone)

    def notify_silent(self, server: Server) -> None:
        """Notifies the relays of those connections whose lines now go unanswered."""
        for call in list(server.standing.values()):
            if server.is_unresponsive or not self._is_reachable(call, server):
                call.caller.fell_silent(call)

    def _zone_changed(self, _zone: int) -> None:
        for server in self.all:
            if server.running and not server.silent and not server.is_unresponsive:
                self.notify_silent(server)

    # ---- every tick ----

    def tick(self) -> ServerSnapshot:
        """Advances all servers to now and returns their state; overloaded servers shed connections."""
        rows = [self._tick_one(server) for server in self.all]
        demand, capacity, set_ups, backlog_us = np.array(rows, dtype=np.float64).T
        used = np.divide(demand + set_ups, capacity, out=np.ones_like(demand), where=capacity > 0)
        zones = range(len(self.network.names))
        answers = np.array(
            [
                [s.running and not s.silent and self.network.passes(zone, s.machine.zone) for zone in zones]
                for s in self.all
            ]
        )
        for server, wait in zip(self.all, self.messages.waits(used).tolist(), strict=True):
            server.wait_us = wait
        return ServerSnapshot(demand, capacity, used, backlog_us, answers)

    def _tick_one(self, server: Server) -> tuple[float, float, float, float]:
        if not server.running:
            return 0.0, 0.0, 0.0, 0.0
        now = self.kernel.now
        if server.cold:
            server.refresh(now)
        else:
            server.advance(now)
        if server.backlog > server.machine.kind.buffer_s * server.machine.capacity:
            self._shed(server)
        server.set_up_load = (server.set_up_load + server.set_up_work / TICK_US * SECOND_US) / 2
        server.set_up_work = 0.0
        backlog_us = server.backlog_us()
        if server.is_unresponsive != (backlog_us > SILENT_US):
            server.is_unresponsive = not server.is_unresponsive
            if server.is_unresponsive:
                self.notify_silent(server)
        return server.demand, server.capacity(), server.set_up_load, backlog_us

    def _shed(self, server: Server) -> None:
        """Drops the heaviest connections, at least one, until the rest fits.

        Called when the backlog exceeds the buffer.
        """
        heaviest = sorted(server.standing.values(), key=lambda call: (-call.load, call.request))
        for turn, call in enumerate(heaviest):
            capacity = server.capacity()
            if turn and (server.demand <= SHED_TARGET * capacity or capacity <= 0):
                break
            self.break_off(call, server, End.BROKEN)
        server.drop(server.backlog - server.machine.kind.buffer_s * server.machine.capacity)


def _exponentials(random: np.random.Generator) -> Iterator[float]:
    while True:
        yield from random.exponential(1.0, DRAW_BLOCK).tolist()
