"""Links between regions: a process that passes bytes on, and can hold all of one region back, as a network
that is cut off does: connections stay open, and nothing comes."""

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from multiprocessing.connection import Connection

import trio

from glenfold.config import Address
from glenfold_lab.scale.driven_process import DrivenProcess
from glenfold_lab.stand_ins.sockets import SocketType, bind, reset_on_close, send_all

HOST = "127.0.0.1"
BACKLOG = 256
MOST_READ = 64 << 10


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """`listen`: where the link is found. `region`: with whose cut it is held back."""

    listen: Address
    target: Address
    region: str


@dataclass(frozen=True, slots=True)
class Cut:
    """All links of the region are held back from now on, or pass on again."""

    region: str
    held: bool


class _Gate:
    """Open, or closed until it is opened again."""

    def __init__(self) -> None:
        self._open = trio.Event()
        self._open.set()

    def set_held(self, held: bool) -> None:
        if held:
            self._open = trio.Event()
        else:
            self._open.set()

    async def passed(self) -> None:
        await self._open.wait()


class _Links:
    def __init__(self, pipe: Connection, plans: Sequence[LinkPlan]) -> None:
        self._pipe = pipe
        self._plans = plans
        self._gates = {plan.region: _Gate() for plan in plans}

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for plan in self._plans:
                listener = bind(*plan.listen)
                listener.listen(BACKLOG)
                nursery.start_soon(self._accept, listener, plan, nursery)
            self._pipe.send(None)
            while True:
                await trio.lowlevel.wait_readable(self._pipe.fileno())
                try:
                    command: Cut = self._pipe.recv()
                except (EOFError, OSError):
                    break
                self._gates[command.region].set_held(command.held)
                self._pipe.send(None)
            nursery.cancel_scope.cancel()

    async def _accept(self, listener: SocketType, plan: LinkPlan, nursery: trio.Nursery) -> None:
        while True:
            sock, _ = await listener.accept()
            nursery.start_soon(self._join, sock, plan)

    async def _join(self, near: SocketType, plan: LinkPlan) -> None:
        gate = self._gates[plan.region]
        with near, trio.socket.socket() as far:
            await gate.passed()
            try:
                await far.connect(plan.target)
            except OSError:
                reset_on_close(near)
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_pass_on, near, far, gate, nursery.cancel_scope)
                nursery.start_soon(_pass_on, far, near, gate, nursery.cancel_scope)
            reset_on_close(near)
            reset_on_close(far)


async def _pass_on(come: SocketType, go: SocketType, gate: _Gate, both: trio.CancelScope) -> None:
    with suppress(OSError):
        while data := await come.recv(MOST_READ):
            await gate.passed()
            await send_all(go, data)
    await gate.passed()  # the other end hears of the end no sooner than of all else
    both.cancel()


async def _serve(pipe: Connection, plans: Sequence[LinkPlan]) -> None:
    await _Links(pipe, plans).run()


def _work(pipe: Connection, plans: Sequence[LinkPlan]) -> None:
    trio.run(_serve, pipe, plans)


@dataclass(slots=True)
class Links:
    """The process, from outside; to be entered as a context. Every method raises ProcessFailed."""

    plans: Sequence[LinkPlan]
    _process: DrivenProcess = field(init=False)

    def __enter__(self) -> "Links":
        self._process = DrivenProcess("the process of the links", _work, tuple(self.plans))
        self._process.receive()
        return self

    def __exit__(self, *_: object) -> None:
        self._process.close()

    def hold(self, region: str, held: bool) -> None:
        self._process.ask(Cut(region, held))
