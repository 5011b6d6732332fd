"""Machines of the model with fixed values instead of ranges, and a relay's end that records its calls."""

from typing import Any

from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.machinery import Machinery
from glenfold_lab.model.servers.server import Server, Stage
from glenfold_lab.model.wire import Call
from glenfold_lab.observe import AttemptOutcome, End, Recorder
from glenfold_lab.spec import Relays, RequestClass, Scenario, ServerKind, ServerList, Servers, Zones
from glenfold_lab.streams import Streams

S, MS = SECOND_US, 1000
ONE_WAY_US = 1 * MS  # Delay between a relay and a server of its zone.
KIND = dict(
    name="m",
    cores=1,
    speed=1.0,
    speed_cv=0.0,
    per_core=10.0,
    cap=2.0,
    queue=5.0,
    cold_from=0.2,
    cold_s=10.0,
    buffer_s=1.0,
    message_ms=2.0,
    burst=1.0,
)
ZONES = dict(names=("here",), same_ms=1.0, cross_ms=10.0, client_ms=0.5, jitter=0.0)
LIST = dict(notice_s=2.0, add_s=1.0, silent_notice_s=6.0, spread_ms=50.0, period_ms=500.0)


class FixedMachines:
    """`count` push servers, each with 1 core that carries 10 connections of the mean load."""

    def __init__(
        self,
        count: int = 1,
        kind: dict[str, Any] | None = None,
        seed: int = 1,
        relays: int = 1,
        zones: tuple[str, ...] = ("here",),
        listed: dict[str, Any] | None = None,
        store: float = 0.0,
        **scenario: Any,
    ) -> None:
        scenario_values = dict(
            format=1,
            name="test",
            guards_against="-",
            relays=Relays(count=relays),
            servers=Servers(
                count=count, kinds=(ServerKind(**KIND | (kind or {})),), park_s=5.0, store_headroom=store
            ),
            classes=(RequestClass(name="watch", set_up_ms=10.0, message_aim_ms=100.0),),
            zones=Zones(**ZONES | {"names": zones}),
            server_list=ServerList(**LIST | (listed or {})),
        )
        self.kernel, self.seen = Kernel(), Recorder()
        self.machinery = Machinery(
            Scenario(**scenario_values | scenario), Streams(seed), self.kernel, self.seen
        )
        self.servers, self.lifecycle = self.machinery.servers, self.machinery.lifecycle
        self.replies: dict[int, AttemptOutcome] = {}  # By request, like the two below.
        self.answer_times: dict[int, int] = {}
        self.ends: dict[int, End] = {}
        self.silent: list[int] = []
        self.call_count = 0
        self.machinery.start()

    def server(self, index: int = 0) -> Server:
        return self.servers.all[index]

    def servers_at(self, stage: Stage) -> set[int]:
        return {server.machine.number for server in self.servers.all if server.stage is stage}

    def new_call(self, server: int = 0, load: float = 100_000.0, **changes: Any) -> Call:
        self.call_count += 1
        values = dict(
            request=self.call_count,
            relay=0,
            server=self.server(server).machine.number,
            request_class=0,
            scheme=0,
            group=0,
            connection=self.call_count,
            load=load,
            deadline=self.kernel.now + 3 * S,
            mid_flow=False,
            caller=self,
        )
        return Call(**values | changes)

    def call(self, *where: Any, **changes: Any) -> Call:
        call = self.new_call(*where, **changes)
        self.servers.call(call)
        return call

    def standing(self, count: int = 1, *where: Any, **changes: Any) -> list[Call]:
        calls = [self.new_call(*where, **changes) for _ in range(count)]
        assert all(self.servers.resume(call) for call in calls)
        return calls

    def run(self, us: float) -> None:
        self.kernel.run(self.kernel.now + int(us))

    def observed(self, name: str) -> list[tuple[Any, ...]]:
        return [values for kind, values in self.seen.records if kind == name]

    def replied(self, call: Call, over: AttemptOutcome) -> None:
        assert call.request not in self.replies
        self.replies[call.request] = over
        self.answer_times[call.request] = self.kernel.now - call.sent_at

    def ended(self, call: Call, how: End) -> None:
        self.ends[call.request] = how

    def fell_silent(self, call: Call) -> None:
        self.silent.append(call.request)
