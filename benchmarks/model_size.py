"""Cost of a connection in the model, with 100 relays and 1,000 push servers.

    python benchmarks/model_size.py            # 10,000 and 1,000,000 connections
    python benchmarks/model_size.py 50000 ...  # other numbers, each in a process of its own

Prints one line of JSON for each size: seconds and peak memory of that process, and microseconds for each
connection, with and without the construction of the world (machines, relays and their maps), which is the
same at every size. Three quarters of the connections stand when the run starts, the others arrive within its
20 s. All change their loads, and a third of them end. The limits are 240 s and 2 GB at 1,000,000 connections,
where a connection may cost at most 25 % more than at 10,000.
"""

import json
import resource
import subprocess
import sys
import time

SIZES = (10_000, 1_000_000)
LIMIT_S, LIMIT_MB, LIMIT_RATIO = 240.0, 2048.0, 1.25


def play(connections: int) -> dict[str, float]:
    from glenfold_lab import spec
    from glenfold_lab.model import world

    scenario = spec.Scenario(
        format=1,
        name="model-size",
        guards_against="connections that cost more the more there are",
        length_s=20,
        schemes=(spec.Scheme(name="coast", share=0.6), spec.Scheme(name="hills", share=0.4)),
        classes=(
            spec.RequestClass(name="watch", share=0.7, worth=3),
            spec.RequestClass(name="feed", share=0.3, load=0.35, worth=5),
        ),
        servers=spec.Servers(count=1000, kinds=(spec.ServerKind(cores=3, speed=1.2, per_core=700),)),
        relays=spec.Relays(count=100),
        clients=spec.Clients(connections=connections, life_s=60, group_size=20, group_zipf=0.5),
    )
    started_at = time.perf_counter()
    result = world.play(scenario, 1)
    elapsed_s, build_s = time.perf_counter() - started_at, result.cost["build_s"]
    clients = result.figures["clients"]
    return {
        "connections": clients,
        "seconds": elapsed_s,
        "build_s": build_s,
        "us_each": elapsed_s / clients * 1e6,
        "us_each_without_building": (elapsed_s - build_s) / clients * 1e6,
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "requests": result.figures["requests"],
        "service": result.figures["service"],
        "rules_broken": result.figures["rules_broken"],
    }


def play_in_subprocess(connections: int) -> dict[str, float]:
    run = subprocess.run(
        [sys.executable, __file__, "--play", str(connections)],
        check=True,
        capture_output=True,
        text=True,
        timeout=1200,
    )
    figures: dict[str, float] = json.loads(run.stdout)
    return figures


def main() -> int:
    if sys.argv[1:2] == ["--play"]:
        print(json.dumps(play(int(sys.argv[2]))))
        return 0
    rows = []
    for size in [int(word) for word in sys.argv[1:]] or SIZES:
        rows.append(play_in_subprocess(size))
        print(json.dumps({name: round(value, 3) for name, value in rows[-1].items()}), flush=True)
    first, last = rows[0], rows[-1]
    ratios = {name: round(last[name] / first[name], 3) for name in ("us_each", "us_each_without_building")}
    is_within_limits = (
        last["seconds"] <= LIMIT_S
        and last["peak_mb"] <= LIMIT_MB
        and (ratios["us_each_without_building"] <= LIMIT_RATIO)
    )
    print(json.dumps({"ratio": ratios, "within_limits": is_within_limits}))
    return 0 if is_within_limits else 1


if __name__ == "__main__":
    sys.exit(main())
