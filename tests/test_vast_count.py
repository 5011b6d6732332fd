"""The counts over the logs of a fleet, checked on generated logs."""

import importlib.util
import sys
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "benchmarks" / "vast" / "count.py"

REQUEST = (
    "{at} 17:00:00.000 DEBUG Request(request={n}, expires_in_us=2000000, mid_flow={mid}, "
    "returning={back}) -> Attempt(request={n}, server=7, timeout_us=9)"
)
ANSWER = (
    "{at} 17:00:00.000 DEBUG Answer(request={n}, attempt=0, server=7, "
    "outcome=<Outcome.{outcome}: 3>, elapsed_us=5, done=False, report=()) -> {did}"
)
UP = "{at} 17:00:00.000 DEBUG Established(request={n}, attempt=0, server=7, elapsed_us=5) -> "
LIVE = "{at} 17:00:00.000 INFO life: starting -> waiting"


def test_counts_add_up_over_relays_by_second_and_by_server():
    spec = importlib.util.spec_from_file_location("count", SOURCE)
    count = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(count)
    first = [
        "no time, no event",
        LIVE.format(at="0.1"),
        REQUEST.format(at="1.2", n=1, mid=False, back=False),
        UP.format(at="1.3", n=1),
        REQUEST.format(at="1.4", n=2, mid=True, back=False),
        ANSWER.format(at="2.0", n=2, outcome="RESET", did="Refuse(request=2, retry_after_us=0)"),
        ANSWER.format(at="3.1", n=1, outcome="RESET", did=""),
        "3.2 17:00:00.000 INFO server 7 jams: it keeps a smaller slice of its keys",
        LIVE.format(at="4.0"),
        REQUEST.format(at="4.1", n=1, mid=False, back=True),
        ANSWER.format(at="4.2", n=1, outcome="CONNECT_FAILED", did="Attempt(request=1, server=8)"),
    ]
    second = [
        REQUEST.format(at="1.9", n=1, mid=False, back=False),
        ANSWER.format(at="1.95", n=1, outcome="FULL", did=""),
        "1.99 17:00:00.000 INFO server 7 suspect after connect_failed",
    ]
    tally = count.count([first, second])
    assert tally.by_time == {
        1: {"new": 2, "mid": 1, "try": 3, "up": 1, "full": 1, "suspect": 1},
        2: {"mid lost": 1, "refused": 1},
        3: {"dropped": 1, "jams": 1},
        4: {"back": 1, "try": 2, "no conn": 1},
    }
    assert tally.by_server[7] == {
        "try": 4,
        "up": 1,
        "full": 1,
        "mid lost": 1,
        "dropped": 1,
        "jams": 1,
        "no conn": 1,
        "suspect": 1,
    }
    assert tally.by_server[8] == {"try": 1} and len(list(count.table("second", tally.by_time.items()))) == 5


def test_what_a_cold_server_took_over_all_relays_stands_against_its_budget_in_the_fullest_window():
    spec = importlib.util.spec_from_file_location("count_cold", SOURCE)
    count = importlib.util.module_from_spec(spec)
    sys.modules["count_cold"] = count  # its dataclasses look their module up
    spec.loader.exec_module(count)
    started_us = (20_000 * 86_400 + 17 * 3_600) * 1_000_000  # at 17:00:00 of some day
    listed = (
        f"0.5 17:00:00.000 DEBUG ServerList(version=1, servers=(ListedServer(server=7, "
        f"state=<ServerState.READY: 2>, weight=3.0, started_us={started_us}), ListedServer(server=8, "
        f"state=<ServerState.READY: 2>, weight=3.0, started_us=0))) -> "
    )
    ask = (
        "{at} 17:00:{at:06.3f} DEBUG Request(request={n}, request_class=1, mid_flow=False, returning=True)"
        " -> Attempt(request={n}, server=7, timeout_us=9)"
    )
    relays = [
        [listed, *(ask.format(at=at, n=n) for n, at in enumerate(times))]
        for times in ((1.0, 2.0, 9.0), (1.5, 3.9, 4.0), (30.0,))
    ]
    relays[2].append(listed.replace(str(started_us), str(started_us - 9_000_000)))  # an old list, read last
    relays[2].append("31 17:00:31.000 DEBUG Timer(token=0) -> Refuse(request=0, retry_after_us=0)")
    tally = count.count(relays)
    cold = count.Cold(rate=10.0, servers=10, share=0.1, cold_s=20.0, multiple=3.0, window_s=3.0)
    assert tally.started == {7: 17 * 3_600}
    tried, budget, part = cold.fullest(tally.started[7], tally.tries[7])
    assert tried == 4 and part == tried / budget  # from 1.0 to 3.9, over two relays; 4.0 is out of the window
    assert abs(budget - 9 * (0.1 + 0.9 * 1.0 / 20)) < 1e-9
    assert cold.fullest(0.0, []) == (0, 0.0, 0.0) and tally.refused == {"1": 1}
