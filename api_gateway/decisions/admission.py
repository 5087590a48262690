"""Admission by SiRED: the fraction of new work let in, and an accumulator for each class and plan.

f = max(F_MIN, min((Q_MAX - q) / (Q_MAX - Q_MIN), 1)) over the smoothed occupancy q (design page). Where that
asks for less than all, what is worth least for its work is shed first.
"""

from __future__ import annotations

from api_gateway.decisions.occupancy import Q_MIN, Occupancy
from api_gateway.model.settings import Plan, RequestClass

Q_MAX, F_MIN = 0.45, 0.05  # the occupancy at which the ramp ends, and the fraction that it ends at
UNSEEN_LIFT = 0.25  # the ramp lies so much higher where we see nothing of the hosts' load when we choose
HALF_SEEN = 0.1  # requests of ours out on a host, in the mean, at which we see half of what there is to see
KEPT_FRACTION = 0.25  # least part of f that each class and plan keeps, however little it is worth
OUT_TOO_LONG = 0.45  # part of an aim after which what is still out counts as full, while no answers tell more
FEW_SAMPLES = 5.0  # samples of q under which that is so


def ramp(q: float, lift: float = 0.0) -> float:
    """The SiRED fraction for smoothed occupancy q; `lift` moves the whole ramp up."""
    return max(F_MIN, min((Q_MAX + lift - q) / (Q_MAX - Q_MIN), 1.0))


def unseen_lift(per_host: float) -> float:
    """How far the ramp is lifted with so many requests of ours out on each host: those that choose their
    hosts unseen by each other queue by chance, and no shedding mends that."""
    return UNSEEN_LIFT * HALF_SEEN / (HALF_SEEN + per_host)


class ClassPlanFraction:
    """Requests of one class and plan: their worth per work, share of the work, fraction let in."""

    def __init__(self) -> None:
        self.value = self.work = self.r = 0.0
        self.f = 1.0

    def take(self, value: float, work: float) -> bool:
        """The accumulator: r += f; at 1 or more, subtract 1 and let in."""
        self.value = value
        self.work += work
        self.r += self.f
        if self.r < 1.0:
            return False
        self.r -= 1.0
        return True


class Admission:
    """What part of the new work is let in."""

    def __init__(self, classes: tuple[RequestClass, ...]) -> None:
        self.occupancy = Occupancy(classes)
        self.fraction = 1.0
        self.cells: dict[tuple[str, str], ClassPlanFraction] = {}
        self.per_host = 0.0  # requests of ours out on a host, in the mean

    def admit(self, cls: RequestClass, plan: Plan, latency_ms: float, units: float) -> bool:
        """Whether one more request of a class and plan is let in; `latency_ms`: usual, for one unit."""
        cell = self.cells.setdefault((cls.name, plan.name), ClassPlanFraction())
        return cell.take(
            cls.priority_weight * plan.priority_weight / max(latency_ms, 1e-6), latency_ms * max(units, 0.0)
        )

    def update(self, late: int) -> None:
        """The fraction for the occupancy as it is now; `late` requests are out for too long."""
        q = (FEW_SAMPLES * self.occupancy.q + late) / (FEW_SAMPLES + late)
        self.fraction = ramp(q, unseen_lift(self.per_host) + self.occupancy.chance)
        self._share_out()

    def _share_out(self) -> None:
        """Staggered ramps: worth per work decides which cell loses first, though each keeps a part of f; the
        sum over cells stays f."""
        total = sum(cell.work for cell in self.cells.values())
        kept = KEPT_FRACTION * self.fraction
        rest = (self.fraction - kept) / (1.0 - kept)
        above = 0.0
        for cell in sorted(self.cells.values(), key=lambda c: -c.value):
            share = cell.work / total if total > 0 else 1.0
            part = max(0.0, min((rest - above) / share, 1.0)) if share > 0 else rest
            cell.f = max(F_MIN, kept + (1.0 - kept) * part)
            above += share

    def forget(self, keep: float) -> None:
        """Keep this part of what is remembered of the cells' work."""
        for cell in self.cells.values():
            cell.work *= keep
