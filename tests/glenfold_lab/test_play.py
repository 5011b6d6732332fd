"""One short history with real relay processes, a crash and a planned restart; and scaled scenarios."""

from pathlib import Path

import msgspec
import psutil  # type: ignore[import-untyped]
import pytest

from glenfold_lab.results import RunResult
from glenfold_lab.spec import Clients, Fault, Front, Relays, RequestClass, Scenario, Servers
from glenfold_lab.stand_ins.run import Snapshot, TooLarge, play_on_sockets, scaled, shortened

SCENARIO = Scenario(
    format=1,
    name="small",
    guards_against="nothing",
    length_s=30.0,
    warm_up_s=0.0,
    classes=(RequestClass(name="watch", deadline_ms=1000.0),),
    servers=Servers(count=2),
    relays=Relays(count=2, restart_s=0.1),
    front=Front(notice_s=0.3),
    clients=Clients(load=0.1, groups=False),
    faults=(Fault(kind="relay_crash", at_s=5.0, count=1), Fault(kind="relay_restart", at_s=10.0, count=1)),
)


def test_a_history_with_real_relays_is_played_and_leaves_no_process(tmp_path: Path) -> None:
    seconds: list[Snapshot] = []
    result = play_on_sockets(
        SCENARIO, 3, 4.0, processes=2, bad_per_s=4.0, logs=tmp_path, on_second=seconds.append
    )
    assert result.verdicts == () and result.answers["up"] > 0 and result.figures["relays_down_s"] > 0
    assert [second.second for second in seconds] == list(range(4)) and seconds[0].new > 10
    assert sorted(path.name for path in tmp_path.iterdir()) == ["n0.log", "n1.log"]
    child_commands = [" ".join(child.cmdline()) for child in psutil.Process().children(recursive=True)]
    # Python starts the resource tracker itself.
    assert not [line for line in child_commands if "resource_tracker" not in line]
    assert msgspec.json.decode(msgspec.json.encode(result), type=RunResult) == result


def test_a_scenario_is_shortened_and_scaled() -> None:
    short = shortened(scaled(SCENARIO, 0.5, None, 7), 3.0)
    assert (short.relays.count, short.servers.count, short.length_s) == (1, 7, 3.0)
    assert [fault.at_s for fault in short.faults] == [0.5, 1.0]
    with pytest.raises(TooLarge, match="smaller scale"):
        play_on_sockets(scaled(SCENARIO, 1, 200, 2000), 1)
