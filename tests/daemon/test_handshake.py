"""Both sides of a take-over, with deaths, lateness and news in every order: somebody always accepts."""

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
STEPS = (*("old hears", "new hears", "ready") * 4, *LATE, *DEATHS)  # most of them lead on


@dataclass
class End:
    """One process: `inbox` is the kernel's, and outlives whoever wrote there."""

    inbox: deque[Message] = field(default_factory=deque)
    alive: bool = True
    open: bool = True  # its end of the channel
    holds: bool = False
    accepts: bool = False
    gave_up: bool = False

    def die(self) -> None:
        self.alive = self.open = self.holds = self.accepts = False


class Pair:
    def __init__(self) -> None:
        self.old, self.new = End(holds=True, accepts=True), End()
        self.predecessor = Predecessor("cardiff-1", ready_by=inf, due=0.0)
        self.successor = Successor(Hello(FORMAT, "cardiff-1", WANTS), ready_by=0.0, due=0.0)
        self.do(self.new, self.successor.start())

    def step(self, name: str) -> None:
        who, _, what = name.partition(" ")
        end, other = (self.old, self.new) if who == "old" else (self.new, self.old)
        if what == "hears":
            self.hear(end)
        elif what == "dies":
            end.die()
        elif what == "is late" and end.open and not end.inbox and other.open:
            self.tell(end, DeadlineReached())
        elif not what and self.new.holds:
            self.tell(self.new, ProcessReady() if name == "ready" else ProcessStopping())
        assert self.old.holds or self.new.holds or not self.somebody_serves, "the queue of clients is lost"

    @property
    def somebody_serves(self) -> bool:
        return (
            self.old.alive
            and self.predecessor.state is not PredecessorState.RETIRED
            or (
                self.new.alive
                and self.successor.state
                in (
                    SuccessorState.PREPARING,
                    SuccessorState.ACCEPTING,
                    SuccessorState.CONFIRMING,
                    SuccessorState.OWNER,
                )
            )
        )

    def hear(self, end: End) -> bool:
        other = self.new if end is self.old else self.old
        if not end.open or not end.inbox and other.open:
            return False
        received_input: Input = end.inbox.popleft() if end.inbox else Disconnected()
        end.holds = end.holds or isinstance(received_input, Offer)
        self.tell(end, received_input)
        return True

    def tell(self, end: End, received_input: Input) -> None:
        if end is self.new:
            self.do(end, self.successor.on(received_input))
        elif isinstance(received_input, Hello):
            self.do(end, self.predecessor.on_hello(received_input, Offer(WANTS, [], True), taken=False))
        else:
            self.do(end, self.predecessor.on(received_input, 0.0))

    def do(self, end: End, effects: list[Effect]) -> None:
        other = self.new if end is self.old else self.old
        for effect in effects:
            match effect:
                case Send(message):
                    if heard := other.open:
                        other.inbox.append(message)
                    if end is self.new or not heard:
                        self.tell(end, Delivered() if heard else ChannelFailed("broken pipe"))
                case Pause():
                    end.accepts = False
                case Resume() | Accept():
                    assert end.holds
                    end.accepts = True
                case Retire() | GiveUp():
                    end.holds = end.accepts = False
                    end.gave_up = isinstance(effect, GiveUp)
                case Close():
                    end.open = False

    def settle(self) -> None:
        while self.hear(self.old) or self.hear(self.new):
            pass


@settings(max_examples=2000, derandomize=True)
@given(st.lists(st.sampled_from(STEPS), max_size=14))
def test_whoever_dies_or_is_late_and_whenever_somebody_accepts_and_one_owns(steps: list[str]) -> None:
    pair = Pair()
    for step in steps:
        pair.step(step)
    pair.settle()
    old, new, predecessor, successor = pair.old, pair.new, pair.predecessor, pair.successor
    if old.alive and predecessor.state is not PredecessorState.RETIRED:
        assert (
            old.accepts
            and successor.state is not SuccessorState.OWNER
            or new.accepts
            and not predecessor.finished
        )
    if not old.alive and new.holds:
        assert new.accepts and successor.state is SuccessorState.OWNER
    if old.alive and new.alive and not new.open:
        assert old.holds != new.holds and old.accepts != new.accepts  # never two owners, nothing left behind
    assert not (new.gave_up and (new.holds or not set(LATE) & set(steps)))
    if predecessor.state is PredecessorState.RETIRED:
        assert not old.holds and (not new.alive or successor.state is SuccessorState.OWNER)


@pytest.mark.parametrize(
    ("hello", "taken", "reason"),
    [
        (Hello(FORMAT + 1, "cardiff-1", []), False, "format 2 is not 1"),
        (Hello(FORMAT, "wrexham-1", []), False, "this is cardiff-1, not wrexham-1"),
        (Hello(FORMAT, "cardiff-1", []), True, "another process is taking over"),
    ],
)
def test_who_may_not_take_over_is_told_why(hello: Hello, taken: bool, reason: str) -> None:
    predecessor = Predecessor("cardiff-1", 30.0, 5.0)
    assert predecessor.on_hello(hello, Offer([], [], False), taken) == [
        Send(Abort(reason)),
        Close(reason),
    ]
    assert not predecessor.is_chosen and predecessor.finished


@pytest.mark.parametrize("message", [Ready(), Taken(), Retired(), Offer([], [], False)])
def test_a_message_out_of_turn_ends_it_and_passes_nothing_on(message: Message) -> None:
    effects = Predecessor("cardiff-1", 30.0, 5.0).on(message, 0.0)
    assert [type(effect) for effect in effects] == [Send, Close]
