"""Random numbers: one seed for a history, and one generator for each part and purpose.

No two parts share a generator, so that a new draw in one part does not change the draws of the others. The
numbers of a generator depend only on the seed and its names, not on the order in which generators are created
or on the process that creates them.
"""

import hashlib

import numpy as np


class Streams:
    """The random generators of one history."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._generators: dict[tuple[str, str, int], np.random.Generator] = {}

    def of(self, part: str, purpose: str, number: int = 0) -> np.random.Generator:
        """Returns the generator of one part ("servers", "front", ...) for one purpose.

        `number` distinguishes several of one kind, such as servers or relays. The same names return the same
        generator object, which continues after the numbers already drawn.
        """
        name = (part, purpose, number)
        if name not in self._generators:
            digest = hashlib.blake2b(f"{part}/{purpose}".encode(), digest_size=8).digest()
            entropy = [self.seed, int.from_bytes(digest), number]
            self._generators[name] = np.random.Generator(np.random.PCG64(np.random.SeedSequence(entropy)))
        return self._generators[name]
