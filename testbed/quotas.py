"""What a fleet sent on beyond quotas, reckoned afterwards against each customer's true store."""

from __future__ import annotations

from collections.abc import Iterable, Mapping


def reckon(
    sent: Iterable[tuple[float, int, float]],
    asked: Mapping[int, float],
    *,
    refill: float,
    burst: float,
    seconds: float,
) -> tuple[float, float, float]:
    """Units inside and beyond the quotas, and units that the quotas allow of what was asked.

    `sent`: time (seconds), customer and units of each first attempt, of all gateways together; `asked`: units
    asked for by each customer. A store starts full, fills at `refill` units a second, and holds `burst`.
    """
    store: dict[int, tuple[float, float]] = {}
    inside = beyond = 0.0
    for at, who, units in sorted(sent):
        left, last = store.get(who, (burst, at))
        left = min(burst, left + refill * (at - last))
        if left >= units:
            left -= units
            inside += units
        else:
            beyond += units
        store[who] = (left, at)
    allowed = sum(min(units, refill * seconds + burst) for units in asked.values())
    return inside, beyond, allowed
