"""Randomized rounding of a budget that is smaller than what is asked of it."""

from __future__ import annotations

from random import Random


def round_randomly(available: float, required: float, rng: Random) -> float:
    """Round `available` below `required` to 0 or to `required`, with `available` as its expected value.

    A budget split over many gateways may be less than one request at each of them. With this each gateway
    admits a whole request now and then, and the sum over the gateways stays right.

    Args:
        available: What is left of a budget.
        required: What one request takes of it.
        rng: Source of the one random draw, made only where 0 < available < required.

    Returns:
        `available` itself where it covers the request or is not positive, else 0 or `required`.
    """
    if available >= required or available <= 0:
        return available
    return required if rng.random() * required < available else 0.0
