"""The processes of real relays: when a relay that does not end is killed, and what is recorded of it."""

from pathlib import Path

import pytest
import trio

from glenfold_lab.stand_ins import relays
from glenfold_lab.stand_ins.machine_clock import SECOND_US, MachineClock
from glenfold_lab.stand_ins.relays import Limits, RelayProcess
from glenfold_lab.stand_ins.seen import Seen

IGNORES_SIGTERM = """
import signal, time
signal.signal(signal.SIGTERM, signal.SIG_IGN)
print("up", flush=True)
time.sleep(60)
"""


@pytest.fixture
def stubborn_program(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets relays run a program that ignores SIGTERM."""
    package = tmp_path / "program" / "glenfold"
    package.mkdir(parents=True)
    (package / "__init__.py").touch()
    (package / "__main__.py").write_text(IGNORES_SIGTERM)
    monkeypatch.setattr(relays, "ROOT", tmp_path / "program")


def new_relay(folder: Path, seen: Seen, clock: MachineClock) -> RelayProcess:
    address = ("127.0.0.1", 9)
    return RelayProcess(0, "n0", folder / "n0", address, address, {}, Limits(), seen, clock)


async def wait_until_up(relay: RelayProcess) -> None:
    relay.start({}, 1)
    with trio.fail_after(20):
        while "up" not in relay.log.read_text():
            await trio.sleep(0.01)


def test_a_relay_that_outlasts_its_end_is_killed_no_earlier_than_allowed(
    stubborn_program: None, tmp_path: Path
) -> None:
    async def main() -> None:
        seen, clock = Seen(), MachineClock()
        relay = new_relay(tmp_path, seen, clock)
        await wait_until_up(relay)
        kill_at = clock.now_us() + SECOND_US // 5
        await relay.stop(kill_at)
        assert not relay.running
        names = [name for name, _ in seen.records]
        (stopping_at, _), (down_at, _), (exited_at, _) = (values for _, values in seen.records)
        assert names == ["stopping", "relay_down", "relay_exited"]
        assert stopping_at < kill_at <= down_at <= exited_at

    trio.run(main)


def test_a_suspended_relay_is_killed_without_running_again(stubborn_program: None, tmp_path: Path) -> None:
    """Guards against a relay that acts after its recorded death, as SIGCONT let it run on."""

    async def main() -> None:
        seen, clock = Seen(), MachineClock()
        relay = new_relay(tmp_path, seen, clock)
        await wait_until_up(relay)
        relay.stall()
        sent, real = [], relay._signal

        def signal_relay(number: int) -> None:
            sent.append(number)
            real(number)

        relay._signal = signal_relay  # type: ignore[method-assign]
        await relay.crash()
        assert sent == [9] and not relay.running
        assert [name for name, _ in seen.records] == ["relay_down", "relay_exited"]

    trio.run(main)
