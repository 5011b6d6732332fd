"""Discovery's agent in a process of its own, so that no list that it writes out delays what is measured."""

import time
from dataclasses import dataclass

import trio

from glenfold_lab.scale.worker import Requests
from glenfold_lab.stand_ins.agent import Agent, Change, Entry, ListState
from glenfold_lab.stand_ins.machine_clock import MachineClock
from glenfold_lab.stand_ins.seen import Seen

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class Begin:
    """The list that the agent starts with. It is answered with the agent's address."""

    seq: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Take:
    """Discovery sends the agent these changes at once. Answered with the moment, in seconds of
    CLOCK_MONOTONIC."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class TellSent:
    """Answered with the bytes that the agent has written to all relays so far."""


async def serve(requests: Requests) -> None:
    if (begin := await requests.next()) is None:
        return
    assert isinstance(begin, Begin)
    agent = Agent((), HOST, ListState(begin.seq, begin.entries), Seen(), MachineClock())
    async with trio.open_nursery() as nursery:
        await nursery.start(agent.serve)
        requests.answer(agent.address)
        while (request := await requests.next()) is not None:
            _answer(agent, requests, request)
        nursery.cancel_scope.cancel()


def _answer(agent: Agent, requests: Requests, request: object) -> None:
    match request:
        case Take(changes):
            at = time.monotonic()
            for change in changes:
                agent.apply(change)
            requests.answer(at)
        case TellSent():
            requests.answer(agent.sent_bytes)
        case _:
            raise TypeError(f"{request!r} is no request to an agent")
