"""The control socket of one instance, a companion: who asks is told how it stands, or has it drain or reload.

One question and one answer a connection, as `ask` has them. What is asked for can't be had: `refused` says
why, and `file` that the operators' file is at fault.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from glenfold import events, logs
from glenfold.daemon.ask import answer_all, open_private
from glenfold.daemon.life import State
from glenfold.daemon.process import Process

Answer = dict[str, Any]


class Control:
    """`snapshots` tells how those stand; None: there are none."""

    def __init__(self, path: Path, snapshots: Callable[[], Answer] | None = None) -> None:
        self._path = path
        self._snapshots = snapshots
        self._began_at = self._since = trio.current_time()

    async def __call__(self, process: Process) -> None:
        process.life.watches.append(self._changed)
        await process.accepts.wait()  # until then another process of its name answers there
        try:
            listener = open_private(self._path)
        except OSError as error:
            events.control_unheard(error=error)
            return

        async def answer(question: Answer) -> Answer:
            return self.answer(process, question)

        async with listener:
            await answer_all(listener, answer)

    def _changed(self, before: State, now: State) -> None:
        self._since = trio.current_time()

    def answer(self, process: Process, question: Answer) -> Answer:
        name, asked = process.relay.config.name, question.get("ask")
        match asked:
            case "status":
                return self.status(process)
            case "counters":
                return {"instance": name, "counters": process.relay.counters.plain()}
            case "drain":
                process.stop()
                events.control_told(ask="drain", outcome="done")
                return {"instance": name}
            case "reload":
                done = process.reload()
                events.control_told(ask="reload", outcome=done.refused or "done")
                if done.refused is not None:
                    return {"instance": name, "refused": done.refused, "file": done.file}
                return {"instance": name, "waits": list(done.waits)}
        return {"refused": f"{asked!r} is none of status, counters, drain, reload"}

    def status(self, process: Process) -> Answer:
        """Times in seconds. `list.age_s`: since discovery last said that the list holds; null: it has not."""
        now, relay = trio.current_time(), process.relay
        heard_at, servers = process.discovery.heard_at, relay.destinations.servers()
        return {
            "instance": relay.config.name,
            "state": process.life.state.value,
            "since_s": now - self._since,
            "up_s": now - self._began_at,
            "list": {
                "version": relay.destinations.version if relay.destinations.has_list else None,
                "servers": len(servers),
                "age_s": now - heard_at if heard_at > float("-inf") else None,
            },
            "connections": {"standing": len(relay.standing), "unanswered": relay.unanswered},
            "snapshot": None if self._snapshots is None else self._snapshots(),
            "log_lines_lost": logs.lost(),
            "counters": relay.counters.plain(),
        }
