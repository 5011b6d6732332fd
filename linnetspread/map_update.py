"""The map of a fleet: the number of buckets of each server, and changes in steps of bounded work."""

import math
from collections.abc import Iterator, Mapping

from linnetspread.anchor import Anchor

# A server claims this many buckets for each unit of its listed weight, enough for shares to follow weights.
BUCKETS_PER_WEIGHT_UNIT = 32
# The largest listed weight is up to 2 ** 4 weight units, as the weights of a list have no unit of their own.
WEIGHT_UNIT_DOUBLINGS = 4
# A claim takes some microseconds. What waits for the end of a step must not notice it.
CLAIMS_PER_STEP = 1000


def bucket_counts(ready_powers: Mapping[int, float], max_power: float) -> tuple[float, dict[int, int]]:
    """Returns the weight unit, and the number of buckets of each ready server.

    `max_power` is the largest power of all listed servers, from which the unit follows.
    """
    exponent = math.frexp(max_power)[1]
    unit = 2.0 ** (exponent - min(WEIGHT_UNIT_DOUBLINGS, max(1, exponent)))
    per_power = BUCKETS_PER_WEIGHT_UNIT / unit
    return unit, {number: max(1, round(per_power * power)) for number, power in ready_powers.items()}


def update_steps(anchor: Anchor, present: Mapping[int, int], wanted: Mapping[int, int]) -> Iterator[None]:
    """Changes `anchor`, whose servers and bucket counts are `present`, to `wanted`; yields between two steps.

    Removals go first, then additions, each in id order. The map is the same after any history.
    """
    claims = 0
    for number in sorted(number for number, count in present.items() if wanted.get(number) != count):
        anchor.remove(number)
        claims += present[number]
        if claims >= CLAIMS_PER_STEP:
            claims = 0
            yield
    for number in sorted(number for number, count in wanted.items() if present.get(number) != count):
        anchor.add(number, wanted[number])
        claims += wanted[number]
        if claims >= CLAIMS_PER_STEP:
            claims = 0
            yield
