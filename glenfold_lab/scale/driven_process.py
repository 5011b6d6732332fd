"""A process of a scale run that hears commands over a pipe and answers each of them."""

import multiprocessing
import signal
from collections.abc import Callable
from multiprocessing.connection import Connection
from typing import Any

ANSWER_S = 60.0
JOIN_S = 5.0


class ProcessFailed(Exception):
    """A process of the run has ended or does not answer."""


class DrivenProcess:
    """`work` runs in it, with its end of the pipe and `arguments`, until that ends. `name`: for errors."""

    def __init__(self, name: str, work: Callable[..., None], *arguments: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._name = name
        self._pipe, there = context.Pipe()
        self._process = context.Process(target=_run, args=(there, work, arguments), daemon=True)
        self._process.start()
        there.close()

    @property
    def pid(self) -> int:
        assert self._process.pid is not None
        return self._process.pid

    def send(self, command: object) -> None:
        """Raises ProcessFailed."""
        try:
            self._pipe.send(command)
        except OSError as error:
            raise ProcessFailed(f"{self._name} has ended") from error

    def receive(self) -> Any:
        """Its next answer. Raises ProcessFailed."""
        try:
            if not self._pipe.poll(ANSWER_S):
                raise ProcessFailed(f"{self._name} does not answer")
            return self._pipe.recv()
        except (EOFError, OSError) as error:
            raise ProcessFailed(f"{self._name} has ended") from error

    def ask(self, command: object) -> Any:
        """Its answer. Raises ProcessFailed."""
        self.send(command)
        return self.receive()

    def close(self) -> None:
        """Ends it."""
        self._pipe.close()
        self._process.join(JOIN_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


def _run(pipe: Connection, work: Callable[..., None], arguments: tuple[Any, ...]) -> None:
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # whoever started it ends it
    work(pipe, *arguments)
