"""Randomized rounding of a budget that is smaller than what is asked of it."""

from __future__ import annotations

from random import Random


def round_randomly(amount: float, whole: float, rng: Random) -> float:
    """Round an amount below `whole` to 0 or to `whole`, with the amount as its expected value.

    A budget split over many gateways may be less than one request at each of them. With this each gateway
    admits a whole request now and then, and the sum over the gateways stays right.

    Args:
        amount: What is left of a budget.
        whole: What one request takes of it.
        rng: Source of the one random draw, made only where 0 < amount < whole.

    Returns:
        The amount itself where it covers the request or is not positive, else 0 or `whole`.
    """
    if amount >= whole or amount <= 0:
        return amount
    return whole if rng.random() * whole < amount else 0.0
