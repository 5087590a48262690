"""Admission control: which fraction of the requests of each class and plan is admitted.

The admitted fraction follows from the smoothed occupancy q as in SiRED:

    f = max(fmin, min((Qmax - q) / (Qmax - Qmin), 1))

While f is less than 1, requests with the least priority weight per work are shed first.

Source: SiRED in "Single and Simplified Multi Class Overload Controls for a SIP Server" (Lloyd).
"""

from __future__ import annotations

from api_gateway.decisions.occupancy import MIN_SHED_OCCUPANCY, Occupancy
from api_gateway.model.settings import Plan, RequestClass

MAX_SHED_OCCUPANCY = 0.45  # Qmax of SiRED: the occupancy at which the admitted fraction is at its minimum.
MIN_ADMITTED_FRACTION = 0.05  # fmin of SiRED.

# Occupancy by which the ramp is moved up for a gateway that sees nothing of the load of the endpoints.
MAX_RAMP_OFFSET = 0.25

# Mean number of this gateway's attempts in flight per endpoint at which the ramp offset is half its maximum.
HALF_RAMP_OFFSET_IN_FLIGHT = 0.1

GUARANTEED_FRACTION = 0.25  # Each class and plan keeps this fraction of the admitted fraction.
OVERDUE_OBJECTIVE_FRACTION = 0.45  # An attempt in flight is overdue after this fraction of its objective.

# Until there have been this many samples of occupancy since the start, overdue attempts count as samples: a
# gateway that starts during an overload gets no responses to show it for as long as the timeout.
MIN_OCCUPANCY_SAMPLES = 5.0
MIN_LATENCY_MS = 1e-6


def admitted_fraction(occupancy: float, offset: float = 0.0) -> float:
    """Return the fraction of requests to admit, from `MIN_ADMITTED_FRACTION` to 1.

    Args:
        occupancy: Smoothed occupancy, 0 to 1.
        offset: Occupancy by which the whole ramp is moved up.
    """
    ramp = (MAX_SHED_OCCUPANCY + offset - occupancy) / (MAX_SHED_OCCUPANCY - MIN_SHED_OCCUPANCY)
    return max(MIN_ADMITTED_FRACTION, min(ramp, 1.0))


def ramp_offset(in_flight_per_endpoint: float) -> float:
    """Return the occupancy by which the ramp is moved up.

    Gateways do not see each other's attempts when they select endpoints, so that queues form at random. The
    fewer attempts a gateway has in flight, the less it sees of the load of the endpoints, and the more of its
    latencies are due to these queues, which shedding load does not shorten.

    Args:
        in_flight_per_endpoint: Mean number of this gateway's attempts in flight on an endpoint.
    """
    return (
        MAX_RAMP_OFFSET * HALF_RAMP_OFFSET_IN_FLIGHT / (HALF_RAMP_OFFSET_IN_FLIGHT + in_flight_per_endpoint)
    )


class ClassPlanShare:
    """The requests of one class and plan, and the fraction of them that is admitted.

    Attributes:
        weight_per_work: Priority weight of the latest request for one millisecond of typical latency.
        work_ms: Recent work, in milliseconds of typical latency.
        accumulator: Sum of the admitted fractions, less 1 for each request admitted.
        admitted_fraction: Fraction of the requests to admit, from `MIN_ADMITTED_FRACTION` to 1.
    """

    def __init__(self) -> None:
        self.weight_per_work = 0.0
        self.work_ms = 0.0
        self.accumulator = 0.0
        self.admitted_fraction = 1.0

    def admit(self, weight_per_work: float, work_ms: float) -> bool:
        """Add the admitted fraction to the accumulator; if it reaches 1, subtract 1 and admit the request.

        Args:
            weight_per_work: Priority weight for one millisecond of typical latency.
            work_ms: Typical latency of the request, in milliseconds.

        Returns:
            Whether the request is admitted.
        """
        self.weight_per_work = weight_per_work
        self.work_ms += work_ms
        self.accumulator += self.admitted_fraction
        if self.accumulator < 1.0:
            return False
        self.accumulator -= 1.0
        return True


class AdmissionController:
    """Decides which new requests are admitted.

    Args:
        classes: The request classes.

    Attributes:
        occupancy: The occupancy of the back end.
        admitted_fraction: Fraction of all work to admit, from `MIN_ADMITTED_FRACTION` to 1.
        shares: The requests of each class and plan, by the names of both.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.occupancy = Occupancy(classes)
        self.admitted_fraction = 1.0
        self.shares: dict[tuple[str, str], ClassPlanShare] = {}
        self._in_flight_per_endpoint = 0.0

    def admit(self, request_class: RequestClass, plan: Plan, latency_ms: float, units: float) -> bool:
        """Return whether a new request is admitted.

        Args:
            request_class: Class of the request.
            plan: Plan of its tenant.
            latency_ms: Typical latency of the class for one unit, in milliseconds.
            units: Size of the request.
        """
        share = self.shares.setdefault((request_class.name, plan.name), ClassPlanShare())
        weight = request_class.priority_weight * plan.priority_weight
        return share.admit(weight / max(latency_ms, MIN_LATENCY_MS), latency_ms * max(units, 0.0))

    def update(self, overdue_attempts: int) -> None:
        """Update the admitted fractions to the current occupancy.

        Args:
            overdue_attempts: Number of attempts in flight for too long; each counts as a sample of 1.
        """
        occupancy = (MIN_OCCUPANCY_SAMPLES * self.occupancy.smoothed + overdue_attempts) / (
            MIN_OCCUPANCY_SAMPLES + overdue_attempts
        )
        offset = ramp_offset(self._in_flight_per_endpoint) + self.occupancy.noise
        self.admitted_fraction = admitted_fraction(occupancy, offset)
        self._distribute_fraction()

    def _distribute_fraction(self) -> None:
        """Distribute the admitted fraction over classes and plans, the highest weight per work first.

        The mean over all work is the admitted fraction, unless the minimum raises it.
        """
        total_work = sum(share.work_ms for share in self.shares.values())
        guaranteed = GUARANTEED_FRACTION * self.admitted_fraction
        # Admitted fraction of the work that the guarantee does not cover.
        unguaranteed_fraction = (self.admitted_fraction - guaranteed) / (1.0 - guaranteed)
        allotted_work_share = 0.0
        for share in sorted(self.shares.values(), key=lambda share: -share.weight_per_work):
            work_share = share.work_ms / total_work if total_work > 0 else 1.0
            admitted_beyond_guarantee = (
                max(0.0, min((unguaranteed_fraction - allotted_work_share) / work_share, 1.0))
                if work_share > 0
                else unguaranteed_fraction
            )
            share.admitted_fraction = max(
                MIN_ADMITTED_FRACTION, guaranteed + (1.0 - guaranteed) * admitted_beyond_guarantee
            )
            allotted_work_share += work_share

    def sweep(self, in_flight_per_endpoint: float, decay_factor: float) -> None:
        """Update the running means.

        Args:
            in_flight_per_endpoint: Mean number of own attempts in flight on an endpoint now.
            decay_factor: Weight of the previous values, 0 to 1.
        """
        previous_mean = self._in_flight_per_endpoint
        self._in_flight_per_endpoint = (
            decay_factor * previous_mean + (1 - decay_factor) * in_flight_per_endpoint
        )
        for share in self.shares.values():
            share.work_ms *= decay_factor
