"""The sizes that capacity is worked out for: what the operators gave, and what had to be assumed."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Self

from glenfold_lab.scale.capacity.estimates import Estimate

SECONDS_A_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Assumption:
    """A figure that nobody has told. `question` is its number in docs/questions.md; between `low` and `high`
    the page shows what the answer would change; `why` says where `value` comes from."""

    name: str
    value: float
    unit: str
    question: int
    low: float
    high: float
    why: str


@dataclass(frozen=True, slots=True)
class FleetSize:
    """One size of the whole fleet."""

    title: str
    relays: float
    push_servers: float
    connections: float
    deliveries_per_s: float
    groups: float
    note: str


@dataclass(frozen=True, slots=True)
class Sizes:
    """The three sizes, the operators' figures and the assumptions. Estimates from it carry their basis."""

    today: FleetSize
    lab: FleetSize
    target: FleetSize
    given: Mapping[str, float]
    assumed: Mapping[str, Assumption]

    @classmethod
    def load(cls, path: Path) -> Self:
        """Raises TypeError or KeyError for a file that lacks something."""
        document = tomllib.loads(path.read_text("utf-8"))
        sizes: dict[str, dict[str, Any]] = document["sizes"]
        assumed = {name: Assumption(name, **entry) for name, entry in document["assumed"].items()}
        fleets = {name: FleetSize(**entry) for name, entry in sizes.items()}
        return cls(fleets["today"], fleets["lab"], fleets["target"], document["given"], assumed)

    def with_assumption(self, name: str, value: float) -> "Sizes":
        """As if the answer to that question were `value`."""
        changed = {**self.assumed, name: replace(self.assumed[name], value=value)}
        return replace(self, assumed=changed)

    def assume(self, name: str) -> Estimate:
        """The assumed figure, as an estimate that names it."""
        return Estimate(self.assumed[name].value, assumed=frozenset({name}))

    def servers(self, size: FleetSize) -> Estimate:
        """Of the target the number of push servers is assumed."""
        return self.assume("push_servers") if size is self.target else Estimate(size.push_servers)

    def connections_per_relay(self, size: FleetSize) -> Estimate:
        """On average; a relay that has several times the mean costs as many times more."""
        return Estimate(size.connections / size.relays)

    def deliveries_per_relay(self, size: FleetSize) -> Estimate:
        """A second, down to clients."""
        return Estimate(size.deliveries_per_s / size.relays)

    def client_lines_per_relay(self, size: FleetSize) -> Estimate:
        """A second, up from clients, each of which a push server answers with one down."""
        return self.connections_per_relay(size) / self.assume("client_line_s")

    def setups_per_relay(self, size: FleetSize) -> Estimate:
        """New connections a second."""
        return self.connections_per_relay(size) / self.assume("connection_life_s")

    def changes_per_s(self) -> Estimate:
        """Of the list, on average over a day."""
        return Estimate(self.given["changes_per_day"] / SECONDS_A_DAY) * self.assume("change_servers")
