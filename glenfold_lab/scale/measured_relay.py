"""One real relay with an agent of its own, whose processor time and memory are read from outside."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil  # type: ignore[import-untyped]
import trio

from glenfold_lab.stand_ins.addresses import AGENTS, RELAYS, Net
from glenfold_lab.stand_ins.agent import Agent, Entry, ListState, full_list_document
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.relays import Limits, RelayProcess, free_address, killed_on_exit
from glenfold_lab.stand_ins.seen import Seen
from glenfold_lab.stand_ins.sockets import Address, format_address

ZONE, KIND, CLASS = "one", "plain", "watch"
WAIT_US = 3_000_000  # of a client, for its UP; the relay keeps a timer for each request as long, also once up
SETTINGS: dict[str, Any] = {
    "classes": [{"name": CLASS, "aim_us": 500_000, "hard_limit_us": WAIT_US, "semantics": "repeatable"}],
    "accounts": [{"name": "one"}],
    "areas": [ZONE],
    "kinds": [KIND],
    "ceilings": {"max_attempts": 3, "retry_after": True, "max_retry_after_us": 100_000},
    "period_us": 2000,
}


@dataclass(frozen=True, slots=True)
class MeasuredRelay:
    listen: Address
    process: psutil.Process
    log: Path

    def processor_s(self) -> tuple[float, float]:
        """Seconds that its threads have run so far, and that they were ready to run and had no core."""
        tasks = Path(f"/proc/{self.process.pid}/task").glob("*/schedstat")
        figures = [task.read_text().split() for task in tasks]
        return sum(int(ran) for ran, _, _ in figures) / 1e9, sum(
            int(waited) for _, waited, _ in figures
        ) / 1e9

    def memory_kb(self) -> float:
        """Its resident set."""
        return float(self.process.memory_info().rss) / 1024


@asynccontextmanager
async def measured_relay(
    folder: Path, push_servers: Sequence[Address], sockets: int
) -> AsyncIterator[MeasuredRelay]:
    """Ready when it comes, and gone with the block. `sockets`: descriptors that it may have."""
    net, seen, clock = Net(), Seen(), MachineClock()
    entries = [_entry(number, address) for number, address in enumerate(push_servers)]
    agent = Agent([0], net.host(AGENTS, 0), ListState(1, entries), seen, clock)
    relay = RelayProcess(
        0,
        "measured",
        folder / "relay",
        free_address(net.host(RELAYS, 0)),
        agent.address,
        SETTINGS,
        Limits(sockets=sockets),
        seen,
        clock,
    )
    async with trio.open_nursery() as nursery, killed_on_exit([relay]):
        await nursery.start(agent.serve)
        relay.start(full_list_document(1, entries), seed=1)
        await relay.ready()
        yield MeasuredRelay(relay.listen, psutil.Process(relay.process_id), relay.log)
        nursery.cancel_scope.cancel()


def _entry(number: int, address: Address) -> Entry:
    return Entry(f"s-{number}", number, format_address(address), ZONE, KIND, number, 1.0)
