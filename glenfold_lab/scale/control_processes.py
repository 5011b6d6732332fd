"""The control processes of a run: `glenfold replica` with a file made from the topology, started, ended,
killed and started again. Whatever was started is ended by its id."""

import http.client
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomlkit

from glenfold.config import Address
from glenfold_lab.scale.control_topology import ControlProcess, Topology
from glenfold_lab.stand_ins.sockets import format_address

COMMAND = (sys.executable, "-m", "glenfold", "replica")
READY_S = 30.0
LOOK_S = 0.05
ANSWER_S = 1.0


class NotReady(Exception):
    """A control process has ended, or does not serve a list."""


def replica_file(process: ControlProcess, addresses: Mapping[str, Address], zones: Mapping[str, str]) -> str:
    """Its operators' file. `zones`: of the processes by name, where they have one."""
    replica: dict[str, Any] = {"name": process.name, "listen": format_address(process.address)}
    if process.zone:
        replica["zone"] = process.zone
    replica["region"] = process.region
    parents = [_parent(name, addresses, zones) for name in process.parents]
    document = {"format": 1, "replica": replica, "parents": parents, "logging": {"form": "json"}}
    return tomlkit.dumps(document)


def _parent(name: str, addresses: Mapping[str, Address], zones: Mapping[str, str]) -> dict[str, str]:
    parent = {"address": format_address(addresses[name])}
    return parent | ({"zone": zones[name]} if zones.get(name) else {})


@dataclass(slots=True)
class ControlProcesses:
    """All of a topology; to be entered as a context. `folder`: for their files and logs. `root`: of the
    checkout whose program they run."""

    topology: Topology
    source: Address
    folder: Path
    root: Path
    _running: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    def __enter__(self) -> "ControlProcesses":
        addresses = self.topology.addresses(self.source)
        zones = {process.name: process.zone for process in self.topology.processes}
        for process in self.topology.processes:
            text = replica_file(process, addresses, zones)
            self._file(process.name).write_text(text, "utf-8")
        try:
            for layer in sorted({process.layer for process in self.topology.processes}):
                names = [process.name for process in self.topology.layer(layer)]
                self.start(names)
                self.wait_until_ready(names)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._running.values():
            process.kill()
            process.wait()

    def pids(self) -> dict[str, int]:
        """Of those that run."""
        return {name: process.pid for name, process in self._running.items() if process.poll() is None}

    def start(self, names: Iterable[str]) -> None:
        for name in names:
            with (self.folder / f"{name}.log").open("ab") as log:
                self._running[name] = subprocess.Popen(
                    [*COMMAND, os.fspath(self._file(name))],
                    cwd=self.root,
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )

    def kill(self, names: Iterable[str]) -> None:
        """By SIGKILL, one right after the other."""
        stopped = [self._running[name] for name in names]
        for process in stopped:
            process.kill()
        for process in stopped:
            process.wait()

    def terminate(self, names: Iterable[str]) -> None:
        """SIGTERM to each."""
        for name in names:
            self._running[name].send_signal(signal.SIGTERM)

    def start_ended(self, names: Iterable[str]) -> list[str]:
        """Those of them that have ended start again; which."""
        ended = [name for name in names if self._running[name].poll() is not None]
        self.start(ended)
        return ended

    def wait_until_ready(self, names: Iterable[str]) -> None:
        """Until each serves a list. Raises NotReady."""
        until = time.monotonic() + READY_S
        addresses = {process.name: process.address for process in self.topology.processes}
        for name in names:
            while not _serves(addresses[name]):
                if self._running[name].poll() is not None or time.monotonic() > until:
                    log = (self.folder / f"{name}.log").read_text("utf-8", "replace")
                    raise NotReady(f"{name} serves no list: {log[-500:]}")
                time.sleep(LOOK_S)

    def _file(self, name: str) -> Path:
        return self.folder / f"{name}.toml"


def _serves(address: Address) -> bool:
    connection = http.client.HTTPConnection(*address, timeout=ANSWER_S)
    try:
        connection.request("GET", "/v1/servers")
        answer = connection.getresponse()
        answer.read()
        return answer.status == http.client.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
