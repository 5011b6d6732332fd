"""Random numbers: one seed for a history, and one generator for each part and purpose.

A new draw in one part must not shift the days of all others, so no two parts share a generator. What a
generator gives depends on the seed and on its names alone: not on the order in which generators are made,
nor on the process that makes them.
"""

import hashlib

import numpy as np


class Streams:
    """The generators of one history."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._made: dict[tuple[str, str, int], np.random.Generator] = {}

    def of(self, part: str, purpose: str, number: int = 0) -> np.random.Generator:
        """The generator of one part ("servers", "front", ...) for one purpose; `number` tells apart several
        of a kind, as servers or relays. The same names give the same
        generator, wherever it stands by then."""
        name = (part, purpose, number)
        if name not in self._made:
            digest = hashlib.blake2b(f"{part}/{purpose}".encode(), digest_size=8).digest()
            entropy = [self.seed, int.from_bytes(digest), number]
            self._made[name] = np.random.Generator(np.random.PCG64(np.random.SeedSequence(entropy)))
        return self._made[name]
