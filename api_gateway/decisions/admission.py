"""Admission control by SiRED: the fraction of requests admitted, and an accumulator for each class and plan.

f = max(fmin, min((Qmax - q) / (Qmax - Qmin), 1)) over the smoothed occupancy q. Where f is less than 1,
requests with the least weight for their work are shed first.

Source: SiRED in "Single and Simplified Multi Class Overload Controls for a SIP Server" (Lloyd).
"""

from __future__ import annotations

from api_gateway.decisions.occupancy import MIN_SHED_OCCUPANCY, Occupancy
from api_gateway.model.settings import Plan, RequestClass

MAX_SHED_OCCUPANCY = 0.45  # Qmax of SiRED: occupancy at which the fraction reaches its minimum
MIN_ADMITTED_FRACTION = 0.05  # fmin of SiRED
MAX_RAMP_OFFSET = 0.25  # the ramp lies so much higher where this gateway sees nothing of an endpoint's load
HALF_RAMP_OFFSET_IN_FLIGHT = (
    0.1  # own requests in flight on an endpoint, in the mean, that show half of its load
)
GUARANTEED_FRACTION = 0.25  # part of the fraction that each class and plan keeps, however little it weighs
OVERDUE_OBJECTIVE_FRACTION = 0.45  # part of its objective after which a request in flight counts as overload
MIN_OCCUPANCY_SAMPLES = 5.0  # below which attempts that are overdue count as samples, too
MIN_LATENCY_MS = 1e-6


def admitted_fraction(occupancy: float, offset: float = 0.0) -> float:
    """Return the SiRED fraction for a smoothed occupancy.

    Args:
        occupancy: Smoothed occupancy, 0 to 1.
        offset: How far the whole ramp is moved up.
    """
    ramp = (MAX_SHED_OCCUPANCY + offset - occupancy) / (MAX_SHED_OCCUPANCY - MIN_SHED_OCCUPANCY)
    return max(MIN_ADMITTED_FRACTION, min(ramp, 1.0))


def ramp_offset(in_flight_per_endpoint: float) -> float:
    """Return how far the ramp is moved up with so many own requests in flight on each endpoint.

    Gateways that choose endpoints without seeing each other's requests cause queues by chance, which shedding
    does not shorten.
    """
    return (
        MAX_RAMP_OFFSET * HALF_RAMP_OFFSET_IN_FLIGHT / (HALF_RAMP_OFFSET_IN_FLIGHT + in_flight_per_endpoint)
    )


class ClassPlanShare:
    """Requests of one class and plan: their weight for their work, their work, and the fraction admitted."""

    def __init__(self) -> None:
        self.weight_per_work = 0.0
        self.work = 0.0
        self.accumulator = 0.0
        self.admitted_fraction = 1.0

    def admit(self, weight_per_work: float, work: float) -> bool:
        """Add the fraction to the accumulator; at 1 or more, subtract 1 and admit the request."""
        self.weight_per_work = weight_per_work
        self.work += work
        self.accumulator += self.admitted_fraction
        if self.accumulator < 1.0:
            return False
        self.accumulator -= 1.0
        return True


class AdmissionController:
    """Decides what part of the new requests is admitted.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.occupancy = Occupancy(classes)
        self.admitted_fraction = 1.0
        self.shares: dict[tuple[str, str], ClassPlanShare] = {}
        self._in_flight_per_endpoint = 0.0

    def admit(self, request_class: RequestClass, plan: Plan, latency_ms: float, units: float) -> bool:
        """Decide on one more request of a class and plan.

        Args:
            request_class: Its class.
            plan: Its plan.
            latency_ms: Typical latency of the class for one unit.
            units: Its size.
        """
        share = self.shares.setdefault((request_class.name, plan.name), ClassPlanShare())
        weight = request_class.priority_weight * plan.priority_weight
        return share.admit(weight / max(latency_ms, MIN_LATENCY_MS), latency_ms * max(units, 0.0))

    def update(self, overdue_requests: int) -> None:
        """Set the fraction for the occupancy as it is now.

        Args:
            overdue_requests: Requests in flight for too long, each of which counts as one sample of 1.
        """
        occupancy = (MIN_OCCUPANCY_SAMPLES * self.occupancy.smoothed + overdue_requests) / (
            MIN_OCCUPANCY_SAMPLES + overdue_requests
        )
        offset = ramp_offset(self._in_flight_per_endpoint) + self.occupancy.noise
        self.admitted_fraction = admitted_fraction(occupancy, offset)
        self._distribute_fraction()

    def _distribute_fraction(self) -> None:
        """Serve the highest weight for work first; the mean over all work stays the whole fraction."""
        total_work = sum(share.work for share in self.shares.values())
        guaranteed = GUARANTEED_FRACTION * self.admitted_fraction
        unguaranteed_fraction = (self.admitted_fraction - guaranteed) / (1.0 - guaranteed)
        allotted_work_share = 0.0
        for share in sorted(self.shares.values(), key=lambda share: -share.weight_per_work):
            work_share = share.work / total_work if total_work > 0 else 1.0
            served_fraction = (
                max(0.0, min((unguaranteed_fraction - allotted_work_share) / work_share, 1.0))
                if work_share > 0
                else unguaranteed_fraction
            )
            share.admitted_fraction = max(
                MIN_ADMITTED_FRACTION, guaranteed + (1.0 - guaranteed) * served_fraction
            )
            allotted_work_share += work_share

    def sweep(self, in_flight_per_endpoint: float, decay_factor: float) -> None:
        """Let what is remembered fade.

        Args:
            in_flight_per_endpoint: Own requests in flight on an endpoint now, in the mean.
            decay_factor: Weight of what is remembered, 0 to 1.
        """
        previous_mean = self._in_flight_per_endpoint
        self._in_flight_per_endpoint = (
            decay_factor * previous_mean + (1 - decay_factor) * in_flight_per_endpoint
        )
        for share in self.shares.values():
            share.work *= decay_factor
