"""Both sides of a takeover with deaths, timeouts and messages in any order: one process always accepts."""

from collections import deque
from dataclasses import dataclass, field
from math import inf

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenfold.daemon.handshake import (
    FORMAT,
    Abort,
    Accept,
    ChannelFailed,
    Close,
    DeadlineReached,
    Delivered,
    Disconnected,
    Effect,
    GiveUp,
    Hello,
    Input,
    Message,
    Offer,
    Pause,
    Predecessor,
    PredecessorState,
    ProcessReady,
    ProcessStopping,
    Ready,
    Resume,
    Retire,
    Retired,
    Send,
    Successor,
    SuccessorState,
    Taken,
)

WANTS = ["127.0.0.1:7000"]
DEATHS = ("old dies", "new dies")
LATE = ("old is late", "new is late", "stop")
STEPS = (*("old hears", "new hears", "ready") * 4, *LATE, *DEATHS)  # Most steps advance the takeover.


@dataclass
class Endpoint:
    """One process. Its `inbox` stands for the kernel's queue, which outlives the sender."""

    inbox: deque[Message] = field(default_factory=deque)
    is_alive: bool = True
    is_open: bool = True  # Whether its end of the channel is open.
    has_sockets: bool = False
    is_accepting: bool = False
    gave_up: bool = False

    def die(self) -> None:
        self.is_alive = self.is_open = self.has_sockets = self.is_accepting = False


class Pair:
    def __init__(self) -> None:
        self.old, self.new = Endpoint(has_sockets=True, is_accepting=True), Endpoint()
        self.predecessor = Predecessor("cardiff-1", ready_by=inf, due=0.0)
        self.successor = Successor(Hello(FORMAT, "cardiff-1", WANTS), ready_by=0.0, due=0.0)
        self.perform(self.new, self.successor.start())

    def step(self, name: str) -> None:
        who, _, what = name.partition(" ")
        end, other = (self.old, self.new) if who == "old" else (self.new, self.old)
        if what == "hears":
            self.receive(end)
        elif what == "dies":
            end.die()
        elif what == "is late" and end.is_open and not end.inbox and other.is_open:
            self.handle(end, DeadlineReached())
        elif not what and self.new.has_sockets:
            self.handle(self.new, ProcessReady() if name == "ready" else ProcessStopping())
        assert self.old.has_sockets or self.new.has_sockets or not self.any_process_serves, (
            "the queue of clients is lost"
        )

    @property
    def any_process_serves(self) -> bool:
        return (
            self.old.is_alive
            and self.predecessor.state is not PredecessorState.RETIRED
            or (
                self.new.is_alive
                and self.successor.state
                in (
                    SuccessorState.PREPARING,
                    SuccessorState.ACCEPTING,
                    SuccessorState.CONFIRMING,
                    SuccessorState.OWNER,
                )
            )
        )

    def receive(self, end: Endpoint) -> bool:
        other = self.new if end is self.old else self.old
        if not end.is_open or not end.inbox and other.is_open:
            return False
        received_input: Input = end.inbox.popleft() if end.inbox else Disconnected()
        end.has_sockets = end.has_sockets or isinstance(received_input, Offer)
        self.handle(end, received_input)
        return True

    def handle(self, end: Endpoint, received_input: Input) -> None:
        if end is self.new:
            self.perform(end, self.successor.on(received_input))
        elif isinstance(received_input, Hello):
            self.perform(
                end, self.predecessor.on_hello(received_input, Offer(WANTS, [], True), other_is_chosen=False)
            )
        else:
            self.perform(end, self.predecessor.on(received_input, 0.0))

    def perform(self, end: Endpoint, effects: list[Effect]) -> None:
        other = self.new if end is self.old else self.old
        for effect in effects:
            match effect:
                case Send(message):
                    if was_received := other.is_open:
                        other.inbox.append(message)
                    if end is self.new or not was_received:
                        self.handle(end, Delivered() if was_received else ChannelFailed("broken pipe"))
                case Pause():
                    end.is_accepting = False
                case Resume() | Accept():
                    assert end.has_sockets
                    end.is_accepting = True
                case Retire() | GiveUp():
                    end.has_sockets = end.is_accepting = False
                    end.gave_up = isinstance(effect, GiveUp)
                case Close():
                    end.is_open = False

    def settle(self) -> None:
        while self.receive(self.old) or self.receive(self.new):
            pass


@settings(max_examples=2000, derandomize=True)
@given(st.lists(st.sampled_from(STEPS), max_size=14))
def test_one_process_accepts_and_owns_the_name_whatever_dies_or_is_late(steps: list[str]) -> None:
    pair = Pair()
    for step in steps:
        pair.step(step)
    pair.settle()
    old, new, predecessor, successor = pair.old, pair.new, pair.predecessor, pair.successor
    if old.is_alive and predecessor.state is not PredecessorState.RETIRED:
        assert (
            old.is_accepting
            and successor.state is not SuccessorState.OWNER
            or new.is_accepting
            and not predecessor.finished
        )
    if not old.is_alive and new.has_sockets:
        assert new.is_accepting and successor.state is SuccessorState.OWNER
    if old.is_alive and new.is_alive and not new.is_open:
        # There are never two owners, and no socket is left open.
        assert old.has_sockets != new.has_sockets and old.is_accepting != new.is_accepting
    assert not (new.gave_up and (new.has_sockets or not set(LATE) & set(steps)))
    if predecessor.state is PredecessorState.RETIRED:
        assert not old.has_sockets and (not new.is_alive or successor.state is SuccessorState.OWNER)


@pytest.mark.parametrize(
    ("hello", "other_is_chosen", "reason"),
    [
        (Hello(FORMAT + 1, "cardiff-1", []), False, "format 2 is not 1"),
        (Hello(FORMAT, "wrexham-1", []), False, "this is cardiff-1, not wrexham-1"),
        (Hello(FORMAT, "cardiff-1", []), True, "another process is taking over"),
    ],
)
def test_a_refused_successor_receives_the_reason(hello: Hello, other_is_chosen: bool, reason: str) -> None:
    predecessor = Predecessor("cardiff-1", 30.0, 5.0)
    assert predecessor.on_hello(hello, Offer([], [], False), other_is_chosen) == [
        Send(Abort(reason)),
        Close(reason),
    ]
    assert not predecessor.is_chosen and predecessor.finished


@pytest.mark.parametrize("message", [Ready(), Taken(), Retired(), Offer([], [], False)])
def test_a_message_out_of_turn_ends_the_takeover_and_passes_nothing_on(message: Message) -> None:
    effects = Predecessor("cardiff-1", 30.0, 5.0).on(message, 0.0)
    assert [type(effect) for effect in effects] == [Send, Close]
