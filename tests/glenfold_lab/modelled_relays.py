"""A relay of the model in memory, with scripted push servers and clients."""

from collections.abc import Callable
from dataclasses import dataclass, field

from glenfold.config import ConnectionLimits
from glenfold.request import RequestState
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.relay_settings import Costs
from glenfold_lab.model.relays import Exchange, Relay, RelayContext
from glenfold_lab.model.wire import Call
from glenfold_lab.observe import AttemptOutcome, End, Recorder
from linnetspread import interface

WAY_US = 500  # One-way delay between the relay and a push server.
SETTINGS = interface.Settings(
    classes=(
        interface.RequestClass(
            aim_us=500_000,
            deadline_us=3 * SECOND_US,
            semantics=interface.Semantics.REPEATABLE,
            message_aim_us=250_000.0,
        ),
    ),
    pass_through=True,
    max_attempts=3,
    may_retry_after=True,
    max_retry_after_us=1_500_000,
)


@dataclass
class Servers:
    """Implements `wire.Machines`.

    `answer` returns a server's answer to a call, or None for no answer. Connections to the servers in
    `silent` never come up.
    """

    kernel: Kernel
    answer: Callable[[Call], AttemptOutcome | None] = lambda call: AttemptOutcome.UP
    silent: set[int] = field(default_factory=set)
    calls: list[Call] = field(default_factory=list)
    closed: list[Call] = field(default_factory=list)
    parked: list[Call] = field(default_factory=list)
    line_us: int | None = 1000

    def call(self, call: Call) -> None:
        self.calls.append(call)
        if call.server in self.silent:
            return
        call.sent_at = self.kernel.now + 2 * WAY_US
        if (over := self.answer(call)) is not None:
            self.kernel.after(4 * WAY_US, call.caller.replied, call, over)

    def resume(self, call: Call) -> bool:
        self.calls.append(call)
        return self.answer(call) is AttemptOutcome.UP

    def close(self, call: Call) -> None:
        self.closed.append(call)

    def park(self, call: Call) -> None:
        self.parked.append(call)

    def change_load(self, call: Call, load: float) -> None:
        call.load = load

    def way_us(self, call: Call) -> int:
        return 4 * WAY_US

    def answer_us(self, call: Call) -> int | None:
        return self.line_us


@dataclass
class RecordingClients:
    """Implements `relays.ClientSide` and records what each client received, and when."""

    kernel: Kernel
    # What, client, microseconds since start.
    received: list[tuple[str, int, int]] = field(default_factory=list)
    waits: list[int] = field(default_factory=list)

    def load(self, client: int) -> float:
        return 40_000.0

    def next_line(self, client: int) -> int:
        return self.kernel.now + 300_000

    def is_reachable(self, exchange: Exchange) -> bool:
        return True

    def answered_up(self, exchange: Exchange) -> None:
        self._note("up", exchange)

    def refused_or_failed(self, exchange: Exchange, wait_us: int) -> None:
        self.waits.append(wait_us)
        self._note("turned away", exchange)

    def connection_ended(self, exchange: Exchange, how: End) -> None:
        self._note(how.name, exchange)

    def _note(self, what: str, exchange: Exchange) -> None:
        self.received.append((what, exchange.client, self.kernel.now - self.kernel.start))

    def received_names(self) -> list[str]:
        return [what for what, _, _ in self.received]


class RelayFixture:
    """One relay that has received a list of servers 1 to `servers` and has room for `taken` connections."""

    def __init__(
        self, servers: int = 4, taken: int = 1000, settings: interface.Settings = SETTINGS, step_us: int = 100
    ) -> None:
        self.kernel, self.seen = Kernel(), Recorder()
        self.servers, self.clients = Servers(self.kernel), RecordingClients(self.kernel)
        costs = Costs(step_us, step_us, step_us, step_us, ConnectionLimits(64, taken, 12))
        context = RelayContext(self.kernel, self.servers, self.clients, self.seen, costs)
        self.relay = Relay(0, settings, 1, context)
        self.relay.receive_list(
            interface.ServerList(
                interface.ListKind.FULL,
                1,
                tuple(
                    interface.ListedServer(number, interface.ServerState.READY)
                    for number in range(1, servers + 1)
                ),
            )
        )
        self.run(0.01)  # The relay reads the list.
        self.kernel.start = self.kernel.now

    def run(self, seconds: float) -> None:
        self.kernel.run(self.kernel.now + round(seconds * SECOND_US))

    def exchange(self, client: int, mid_flow: bool = False) -> Exchange:
        number, expires = client + 1, 3 * SECOND_US
        event = interface.Request(number, expires, key=number * 7919, mid_flow=mid_flow)
        return Exchange(self.relay, client, 0, 0, event, RequestState(number, self.kernel.now + expires))

    def ask(self, *clients: int, mid_flow: bool = False) -> list[Exchange]:
        exchanges = [self.exchange(client, mid_flow) for client in clients]
        assert all(self.relay.offer(one, self.kernel.now + one.event.expires_in_us) for one in exchanges)
        return exchanges

    def observed(self, name: str) -> list[tuple[object, ...]]:
        return [values for kind, values in self.seen.records if kind == name]
