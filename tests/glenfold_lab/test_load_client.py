"""One client's states: whatever comes in whatever order, one answer, one end, and bounded waiting."""

from hypothesis import given
from hypothesis import strategies as st

from glenfold.lines import parse_open
from glenfold_lab.load.client import (
    LINE_TIMEOUT_US,
    Answer,
    Answered,
    Broken,
    ClientState,
    Close,
    Connected,
    ConnectionEnded,
    ConnectionOptions,
    Due,
    EndReason,
    Input,
    LineAnswered,
    LineSent,
    Phase,
    Received,
    ReceivedEof,
    Send,
    SendEof,
    UnexpectedLine,
    Unreachable,
    open_line,
)

MS = 1000
OPTIONS = ConnectionOptions(
    b"OPEN 1 2 c=w,d=2000\r\n", 2_000 * MS, until_us=60_000 * MS, line_gap_us=2_000 * MS
)


def up(options: ConnectionOptions = OPTIONS, at: int = 0) -> ClientState:
    state = ClientState(options, 0, 0)
    state.on(Connected(), 0)
    state.on(Received(b"UP r\r\n"), at)
    return state


PIECES = st.sampled_from(
    [
        b"UP r\r\n",
        b"UP",
        b" r\r\n",
        b"BUSY 70\r\n",
        b"MOVE\r\n",
        b"BYE\r\n",
        b"LOAD 5\r\n",
        b"M 1\r\n",
        b"\r",
        b"\n",
        b"x" * 5000,
    ]
)
FIRST = st.sampled_from([Connected(), Unreachable(), Due()])
LATER = st.one_of(st.builds(Received, PIECES), st.sampled_from([ReceivedEof(), Broken(), Due(), Due()]))
WAIT = st.integers(0, 3_000 * MS)


@given(st.tuples(FIRST, WAIT), st.lists(st.tuples(LATER, WAIT), max_size=40))
def test_one_answer_then_at_most_one_end_and_nothing_after_it(
    first: tuple[Input, int], later: list[tuple[Input, int]]
) -> None:
    state, now, told = ClientState(OPTIONS, 0, 0), 0, []
    for event_input, wait in (first, *later):
        now += wait
        told += state.on(event_input, now)
    answers = [effect for effect in told if isinstance(effect, Answered)]
    ends = [effect for effect in told if isinstance(effect, ConnectionEnded)]
    closes = [n for n, effect in enumerate(told) if isinstance(effect, Close)]
    assert len(answers) <= 1 and len(ends) <= 1 and len(closes) <= 1
    assert not ends or answers[0].answer is Answer.UP
    assert not closes or closes[0] == len(told) - 1
    assert (state.phase is Phase.ENDED) == bool(closes)


@given(st.lists(st.sampled_from(["silent", "echo", "load"]), max_size=30))
def test_waiting_alone_always_comes_to_an_end(replies: list[str]) -> None:
    state, now = up(), 0
    for reply in [*replies, *["echo"] * 200]:
        if state.phase is Phase.ENDED:
            return
        assert state.due_us > now
        now = state.due_us
        for effect in state.on(Due(), now):
            if isinstance(effect, Send) and reply != "silent":
                state.on(Received(b"LOAD 3\r\n" if reply == "load" else effect.data), now)
    raise AssertionError("it never ended")


def test_a_line_counts_from_its_intended_moment_and_load_is_no_answer_to_it() -> None:
    state = up()
    said = state.on(Due(), 2_500 * MS)
    assert said == [Send(b"M 2000000\r\n"), LineSent(500 * MS)]
    back = state.on(Received(b"LOAD 7\r\nM 2000000\r\nnews\r\n"), 2_600 * MS)
    assert back == [LineAnswered(600 * MS, b"M 2000000"), UnexpectedLine(b"news")]
    assert (state.phase, state.due_us) == (Phase.UP, 4_000 * MS)


def test_lines_that_are_overdue_are_all_said_and_each_counts() -> None:
    effects = up().on(Due(), 7_000 * MS)
    assert [e.late_us for e in effects if isinstance(e, LineSent)] == [5_000 * MS, 3_000 * MS, 1_000 * MS]


def test_a_server_that_never_answers_a_line_is_given_up_by_the_first_of_them() -> None:
    state = up()
    while state.phase is not Phase.ENDED:
        now = state.due_us
        effects = state.on(Due(), now)
    assert now == 2_000 * MS + LINE_TIMEOUT_US
    assert effects == [ConnectionEnded(EndReason.SILENT, 4), Close()]


def test_what_was_told_first_says_how_it_ended() -> None:
    for word, reason in ((b"MOVE", EndReason.MOVED), (b"BYE", EndReason.SERVED)):
        state = up()
        assert state.on(Received(word + b"\r\n"), 10) == []
        assert state.on(Broken(), 20) == [ConnectionEnded(reason, 0), Close()]
    left = up()
    while not isinstance(left.on(Due(), left.due_us)[0], SendEof):
        left.on(Received(b"M\r\n"), left.due_us)
    assert left.on(Received(b"MOVE\r\n"), left.due_us) == []
    assert left.on(Due(), left.due_us) == [ConnectionEnded(EndReason.LEFT, 0), Close()]


def test_a_first_line_is_one_that_relays_read() -> None:
    line = open_line(7, 0xAB, {"c": "watch", "t": "valleys", "d": 2000, "g": "5c0f", "again": 1})
    first = parse_open(bytearray(line), len(line))
    assert (first.key, first.wait_ms, first.number(b"g", 16)) == (0xAB, 2000, 0x5C0F)
    assert first.flag(b"again")
