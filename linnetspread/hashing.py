"""Hash functions of the placement, which are the same at every gateway and in every process."""

MASK_64 = (1 << 64) - 1
SEEDS = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9)


def mix(value: int) -> int:
    """Returns the finaliser of splitmix64, which is the same at every gateway and in every process."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def jump_hash(key: int, parts: int) -> int:
    """Returns the part of a key by jump consistent hash.

    When `parts` grows, each key keeps its part or goes to one of the new ones.
    """
    part, next_part = 0, 0
    while next_part < parts:
        part, key = next_part, mix(key)
        next_part = int((part + 1) / ((key + 1) / (MASK_64 + 1)))
    return part
