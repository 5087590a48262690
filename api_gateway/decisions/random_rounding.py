"""Randomized rounding of a budget that is smaller than one request."""

from __future__ import annotations

from random import Random


def round_randomly(available: float, required: float, rng: Random) -> float:
    """Round a budget that is too small for a request to 0 or to the size of the request.

    The expected value of the result is the budget. A budget that is shared by many gateways may be too small
    for one request at each of them. With rounding, a few gateways admit a request each, and the sum over all
    gateways stays correct.

    Args:
        available: The remaining budget.
        required: Budget that the request needs, in the same unit.
        rng: Source of the random draw, which is only made if 0 < available < required.

    Returns:
        0 or `required` if 0 < available < required, else `available` unchanged.
    """
    if available >= required or available <= 0:
        return available
    return required if rng.random() * required < available else 0.0
