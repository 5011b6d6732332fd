"""The lifecycle of push servers (start, drain, end, silence and return) and its notifications."""

import math
from collections.abc import Callable

from glenfold_lab.model.fleet import Machine
from glenfold_lab.model.kernel import SECOND_US
from glenfold_lab.model.servers.calls import PushServers
from glenfold_lab.model.servers.server import Server, Stage
from glenfold_lab.observe import Capacity, End, ListedState
from glenfold_lab.results import Happened
from glenfold_lab.spec import Rules

DRAIN_STEP_US = 100_000  # Interval at which a draining server asks some clients to leave.
MILLISECOND_US = 1000  # Lists state start times in milliseconds, so starts fall on whole milliseconds.

# Takes the machine, its new state, its start time, and whether it disappeared silently.
ServerChanged = Callable[[Machine, ListedState, int, bool], None]


class ServerLifecycle:
    """Makes all changes of a server's stage, once each. The end of a process holds until the next one.

    `on_change` is called with every change that discovery has to detect.
    """

    def __init__(
        self, servers: PushServers, rules: Rules, on_change: ServerChanged, note: Callable[[Happened], None]
    ) -> None:
        self._servers = servers
        self._kernel, self._watcher = servers.kernel, servers.watcher
        self._rules = rules
        self._on_change = on_change
        self._note = note
        servers.on_overload = self._fail_overloaded

    def start_all(self) -> None:
        """Starts all servers as long running and warm."""
        for server in self._servers.all:
            server.stage = Stage.RUNS
            server.refresh(self._kernel.now)
            self._report_started(server, False)

    def running(self) -> list[Server]:
        """Returns the ready and reachable servers, which faults can strike, in the order of their index."""
        return [s for s in self._servers.all if s.stage is Stage.RUNS and not s.silent]

    def add(self, machine: Machine) -> Server:
        """Adds a new machine, whose process starts cold."""
        server = self._servers.add(machine)
        self.start(server)
        return server

    def start(self, server: Server) -> None:
        """Starts the process cold at the next whole millisecond."""
        self._kernel.at(-(-self._kernel.now // MILLISECOND_US) * MILLISECOND_US, self._start, server)

    def _start(self, server: Server) -> None:
        if server.running:
            return
        server.stage, server.silent = Stage.RUNS, False
        server.updated_at = server.started = self._kernel.now
        server.cold = True
        server.refresh(self._kernel.now)
        self._report_started(server, True)
        self._on_change(server.machine, ListedState.READY, server.started, False)

    def _report_started(self, server: Server, cold: bool) -> None:
        rules = self._rules
        capacity = Capacity(
            self._servers.fleet.warm_per_s(server.machine), rules.cold_share, int(rules.cold_s * SECOND_US)
        )
        self._watcher.server_started(self._kernel.now, server.machine.number, capacity, cold)

    def end(self, server: Server) -> None:
        """Ends the process: its connections are reset, and new ones are refused."""
        if not server.running:
            return
        server.stage = Stage.DOWN
        self._servers.break_all(server)
        if not server.silent:
            self._report_ended(server)
        self._on_change(server.machine, ListedState.GONE, server.started, server.silent)

    def _report_ended(self, server: Server) -> None:
        self._watcher.server_ended(self._kernel.now, server.machine.number)

    def restart(self, server: Server, down_us: int) -> None:
        """Ends the process at once; a new one starts `down_us` later."""
        self.end(server)
        self._kernel.after(down_us, self.start, server)

    def _fail_overloaded(self, server: Server) -> None:
        self.end(server)
        at = self._kernel.now - self._kernel.start
        self._note(Happened("fell_over", at, None, (server.machine.number,)))

    # ---- drains ----

    def drain(self, server: Server, over_us: int) -> None:
        """Asks the clients to leave, evenly over `over_us`, then ends and resets what remains."""
        if not self.start_drain(server):
            return
        self._ask_to_leave(server, server.life, len(server.standing), over_us, over_us)

    def start_drain(self, server: Server) -> bool:
        """Starts a drain, so that the server refuses new connections. Returns False if it is not ready."""
        if server.stage is not Stage.RUNS:
            return False
        server.stage = Stage.DRAINS
        self._watcher.server_draining(self._kernel.now, server.machine.number)
        self._on_change(server.machine, ListedState.DRAINING, server.started, False)
        return True

    def cancel_drain(self, server: Server, life: int) -> None:
        """Cancels a drain if the process with this `life` still runs."""
        if server.stage is Stage.DRAINS and server.life == life:
            server.stage = Stage.RUNS
            self._report_started(server, False)
            self._on_change(server.machine, ListedState.READY, server.started, False)

    def _ask_to_leave(self, server: Server, life: int, count: int, over_us: int, remaining_us: int) -> None:
        """Asks clients to leave so that the share of `count` that stays is the share of time that remains."""
        if server.life != life:
            return
        if remaining_us <= 0:
            return self.end(server)
        step = min(DRAIN_STEP_US, remaining_us)
        stay = math.ceil(count * (remaining_us - step) / over_us)
        for call in list(server.standing.values())[: max(0, len(server.standing) - stay)]:
            self._servers.break_off(call, server, End.MOVED)
        self._kernel.after(step, self._ask_to_leave, server, life, count, over_us, remaining_us - step)

    # ---- silence ----

    def vanish(self, server: Server) -> None:
        """Cuts the server off in both directions without any signal."""
        if not server.running or server.silent:
            return
        server.silent = True
        self._report_lost(server)
        self._servers.notify_silent(server)

    def appear(self, server: Server, life: int) -> None:
        """Reconnects a vanished server, with its state, if the process with this `life` still runs."""
        if server.silent and server.life == life:
            server.silent = False
            self._report_back(server)

    def cut(self, zone: int, relays: bool) -> list[Server]:
        """Cuts a zone off (`Network.cut`) and returns the servers that this silenced."""
        silenced = [s for s in self._servers.all if s.machine.zone == zone and s.running and not s.silent]
        self._servers.network.cut(zone, relays)
        for server in silenced:
            self._report_lost(server)
        return silenced

    def restore(self, zone: int) -> None:
        self._servers.network.restore(zone)
        for server in self._servers.all:
            if server.machine.zone == zone and server.running and not server.silent:
                self._report_back(server)

    def _report_lost(self, server: Server) -> None:
        self._report_ended(server)
        self._on_change(server.machine, ListedState.GONE, server.started, True)

    def _report_back(self, server: Server) -> None:
        self._report_started(server, False)
        state = ListedState.READY if server.stage is Stage.RUNS else ListedState.DRAINING
        self._on_change(server.machine, state, server.started, False)

    # ---- capacity ----

    def take_cores(self, server: Server, share: float) -> None:
        """Gives a neighbour that share of the server's cores from now on."""
        server.neighbour = share
        server.refresh(self._kernel.now)

    def set_stalled(self, server: Server, is_stalled: bool) -> None:
        """Stalls or resumes a server. A stalled server does no work, so its backlog grows."""
        server.is_stalled = is_stalled
        server.refresh(self._kernel.now)
