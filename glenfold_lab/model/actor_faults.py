"""Faults of relays and clients: crashes, planned restarts, stalled processes, mass drops."""

from collections.abc import Callable

import numpy as np

from glenfold_lab.model.clients import Clients
from glenfold_lab.model.draw import value
from glenfold_lab.model.kernel import SECOND_US, Kernel
from glenfold_lab.model.posts import Posts
from glenfold_lab.results import Happened
from glenfold_lab.spec import Fault, Range
from glenfold_lab.streams import Streams

PART = 0.25  # of the relays or clients, where a fault does not say


class ActorFaults:
    """Plans those faults of a scenario that are not the machines'. `happened` gets each as it comes."""

    def __init__(self, faults: tuple[Fault, ...], streams: Streams, kernel: Kernel, posts: Posts,
                 clients: Clients, happened: list[Happened]) -> None:
        self._streams, self._kernel = streams, kernel
        self._posts, self._clients = posts, clients
        self._happened = happened
        kinds: dict[str, Callable[[Fault, np.random.Generator], None]] = {
            "relay_crash": self._crash, "relay_restart": self._restart,
            "relay_stall": self._stall, "reconnect": self._reconnect}
        for number, fault in enumerate(faults):
            if fault.kind in kinds:
                random = streams.of("actor faults", fault.kind, number)
                kernel.at(kernel.start + _us(fault.at_s, random), kinds[fault.kind], fault, random)

    def _crash(self, fault: Fault, random: np.random.Generator) -> None:
        struck = self._struck(fault, random)
        self._note(fault, 0, struck)
        for relay in struck:
            self._posts.crash(relay)

    def _restart(self, fault: Fault, random: np.random.Generator) -> None:
        struck, over = self._struck(fault, random), _us(fault.over_s, random)
        self._note(fault, over, struck)
        for place, relay in enumerate(struck):
            self._kernel.after(over * place // len(struck), self._posts.restart, relay)

    def _stall(self, fault: Fault, random: np.random.Generator) -> None:
        struck, length = self._struck(fault, random), _us(fault.len_s, random)
        self._note(fault, length, struck)
        for relay in struck:
            self._posts.stall(relay, self._kernel.now + length)

    def _reconnect(self, fault: Fault, random: np.random.Generator) -> None:
        part, over = value(PART if fault.size is None else fault.size, random), _us(fault.over_s, random)
        self._note(fault, over, [])
        self._clients.drop(part, over, random)

    def _struck(self, fault: Fault, random: np.random.Generator) -> list[int]:
        """Which relays, in a drawn order; at least one."""
        part = value(PART if fault.part is None else fault.part, random)
        count = fault.count or max(1, round(part * len(self._posts)))
        return [int(relay) for relay in random.permutation(len(self._posts))[:count]]

    def _note(self, fault: Fault, length: int, struck: list[int]) -> None:
        at = self._kernel.now - self._kernel.start
        self._happened.append(Happened(fault.kind, at, at + length if length else None, (), tuple(struck)))


def _us(wanted: Range, random: np.random.Generator) -> int:
    return round(value(wanted, random) * SECOND_US)
