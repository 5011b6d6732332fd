"""The status of a fleet in the format that operators read from its supervisor. Times are in seconds."""

import os
from collections.abc import Mapping
from typing import Any

from glenfold.rules.fleet.state import Instance, Roll, State
from glenfold.rules.service import Shares

Report = dict[str, Any]


def report(
    state: State, statuses: Mapping[str, Report], service: Shares, now: float, *, state_saved: bool
) -> Report:
    """Returns the answer to the question `status`.

    `statuses` maps an instance's name to its last own status; an instance may be missing.
    """
    return {
        "supervisor": os.getpid(),
        "instances": [
            _instance(name, instance, statuses.get(name, {}), now)
            for name, instance in state.instances.items()
        ],
        "roll": None if state.roll is None else _roll(state.roll, now),
        "rolls": state.rolls,
        "last_roll": state.last_roll,
        "down": state.down,
        "service": _shares(service),
        "state_saved": state_saved,
    }


def _instance(name: str, instance: Instance, status: Report, now: float) -> Report:
    pid = int(instance.process.partition(":")[0]) if instance.process else None
    return {
        "name": name,
        "phase": instance.phase.value,
        "pid": pid,
        "for_s": round(now - instance.since, 1),
        "state": status.get("state") if pid else None,
        "starts": instance.starts,
        "ends": len(instance.ends),
        "replacing": instance.replacing,
        "leaving": len(instance.leaving),
        "last_end": instance.how,
        "counters": status.get("counters", {}) if pid else {},
    }


def _roll(roll: Roll, now: float) -> Report:
    return {
        "running": roll.running,
        "reason": roll.reason,
        "out": roll.out,
        "todo": roll.todo,
        "done": roll.done,
        "most_out": roll.most_out,
        "for_s": round(now - roll.begun_at, 1),
        "before": _shares(roll.before),
    }


def _shares(shares: Shares) -> Report:
    return {"asked": shares.asked, "refused": shares.refused, "unanswered": shares.unanswered}
