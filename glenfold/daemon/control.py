"""The control socket of one instance: reports its status and counters, and starts a drain or a reload.

A connection carries one question and one answer, in the format of the module `ask`. When a question is
refused, `refused` in the answer holds the reason, and `file` is true if the operators' file is faulty.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from glenfold import events, logs
from glenfold.daemon.ask import open_private, serve_answers
from glenfold.daemon.life import State
from glenfold.daemon.process import Process

Answer = dict[str, Any]


class Control:
    """The background task that serves the control socket.

    `snapshots` returns the status of the snapshots; it is None for an instance without snapshots.
    """

    def __init__(self, path: Path, snapshots: Callable[[], Answer] | None = None) -> None:
        self._path = path
        self._snapshots = snapshots
        self._started_at = self._state_since = trio.current_time()

    async def __call__(self, process: Process) -> None:
        process.life.watches.append(self._on_life_change)
        # Until this process accepts clients, another process of the same name may own the control socket.
        await process.accepts.wait()
        try:
            listener = open_private(self._path)
        except OSError as error:
            events.control_unheard(error=error)
            return

        async def answer(question: Answer) -> Answer:
            return self.answer(process, question)

        async with listener:
            await serve_answers(listener, answer)

    def _on_life_change(self, before: State, now: State) -> None:
        self._state_since = trio.current_time()

    def answer(self, process: Process, question: Answer) -> Answer:
        """Returns the answer to one question; a drain or a reload that it asks for is carried out."""
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
                result = process.reload()
                events.control_told(ask="reload", outcome=result.refused or "done")
                if result.refused is not None:
                    return {"instance": name, "refused": result.refused, "file": result.file}
                return {"instance": name, "waits": list(result.waits)}
        return {"refused": f"{asked!r} is none of status, counters, drain, reload"}

    def status(self, process: Process) -> Answer:
        """Returns the answer to the question `status`, with times in seconds.

        `list.age_s` is the time since discovery last confirmed the list; it is null before the first time.
        """
        now, relay = trio.current_time(), process.relay
        heard_at, servers = process.discovery.heard_at, relay.destinations.servers()
        return {
            "instance": relay.config.name,
            "state": process.life.state.value,
            "since_s": now - self._state_since,
            "up_s": now - self._started_at,
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
