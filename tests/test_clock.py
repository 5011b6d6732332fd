"""The clock of a relay: conversions between trio's time and microseconds since 1970."""

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from glenfold import clock as clock_module
from glenfold.clock import SECOND_US, Clock

STARTS_S = st.floats(1.6e9, 4e9)
DAY_US = 86_400 * SECOND_US


# Guards against a deadline that the clock shows as not yet due when trio's time has reached it (incident 18).
@given(start_s=STARTS_S, passed_us=st.integers(0, 30 * DAY_US), wait_us=st.integers(0, DAY_US))
def test_a_time_is_the_same_after_its_conversion_to_trio_and_back(
    start_s: float, passed_us: int, wait_us: int
) -> None:
    async def main() -> None:
        mock_clock.jump(passed_us / SECOND_US)
        due_us = clock.now_us() + wait_us
        assert clock.to_us(clock.to_trio(due_us)) == due_us

    async def make_clock() -> Clock:
        return Clock()

    mock_clock = trio.testing.MockClock()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(clock_module.time, "time", lambda: start_s)
        clock = trio.run(make_clock, clock=mock_clock)
        trio.run(main, clock=mock_clock)


@pytest.mark.parametrize("start_s", [1796820409.6328459, 1797167226.4181669])
def test_a_wait_of_a_second_is_over_a_second_later(start_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clock_module.time, "time", lambda: start_s)

    async def main() -> None:
        clock = Clock()
        assert clock.to_trio(clock.now_us() + SECOND_US) == trio.current_time() + 1.0

    trio.run(main, clock=trio.testing.MockClock())
