"""The tenants that this gateway knows, and the state that it keeps of each."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from api_gateway.decisions.ceiling import CeilingShare
from api_gateway.decisions.quota import QuotaConditions, TenantQuota, window_length_ms
from api_gateway.decisions.traffic import RATE_TIME_CONSTANT_MS
from api_gateway.decisions.uptime import Uptime
from api_gateway.decisions.usage_report import UsageReport
from api_gateway.model.events import RequestReceived
from api_gateway.model.settings import Plan, Settings

MAX_TENANTS = 8192  # known at once, so that a flood of new names cannot fill the memory
FORGET_AFTER_WINDOWS = 3.0  # windows without a request after which a tenant is forgotten
MAX_TENANTS_EXAMINED = 64  # tenants examined at once, the longest unseen first
HASH_BYTES = 8


class Tenant:
    """One tenant under one plan.

    Args:
        key: Its name and that of its plan.
        plan: Its plan.
        quota: Its quota.
        ceiling: This gateway's share of its ceiling.
        report: What was reported of its usage.
        window_phase: Part of a window by which its windows are shifted, 0 to 1.

    Attributes:
        in_flight: Requests that hold a place of its limit on concurrent requests.
        last_request_at_ms: When its last request came.
    """

    def __init__(
        self,
        key: tuple[str, str],
        plan: Plan,
        quota: TenantQuota,
        ceiling: CeilingShare,
        report: UsageReport,
        window_phase: float,
    ) -> None:
        self.key = key
        self.plan = plan
        self.quota = quota
        self.ceiling = ceiling
        self.report = report
        self.in_flight = 0
        self.last_request_at_ms = 0.0
        self._window_phase = window_phase
        # Worked out once: the sweep asks for it of many tenants.
        self._window_length_ms = window_length_ms(plan) if plan.quota_rate > 0 else 0.0

    def window_at(self, now_ms: float) -> tuple[int, float]:
        """Return the number of the quota window at a time, and when it began."""
        length_ms = self._window_length_ms
        position = now_ms / length_ms + self._window_phase
        return int(position), now_ms - position % 1 * length_ms

    def is_at_concurrency_limit(self) -> bool:
        """Whether this gateway's share of the tenant's concurrent requests is in use."""
        limit = self.plan.max_concurrent_requests
        return bool(limit) and self.in_flight >= max(1, limit // self.quota.gateway_count)

    def may_be_forgotten(self, now_ms: float) -> bool:
        """Whether nothing would be lost: its ceiling share, which starts empty, must be full again."""
        is_unused = not self.in_flight and not self.report.waiting_requests
        return is_unused and self.ceiling.is_full_after(now_ms - self.last_request_at_ms)

    def is_idle(self, now_ms: float) -> bool:
        """Whether it has sent nothing for so long that it may be forgotten."""
        idle_period_ms = self._window_length_ms or RATE_TIME_CONSTANT_MS
        has_no_recent_request = now_ms - self.last_request_at_ms >= FORGET_AFTER_WINDOWS * idle_period_ms
        return has_no_recent_request and self.may_be_forgotten(now_ms)


class TenantTable:
    """The tenants that are known, the longest unseen first.

    Args:
        settings: The gateway's settings.
        uptime: How long the gateway has been up.
        conditions: What the estimates of quotas depend on.
        on_forget: Called with a tenant that is forgotten.
    """

    def __init__(
        self,
        settings: Settings,
        uptime: Uptime,
        conditions: QuotaConditions,
        on_forget: Callable[[Tenant], None],
    ) -> None:
        self._fleet_size = settings.fleet_size
        self._uptime = uptime
        self._conditions = conditions
        self._on_forget = on_forget
        self._tenants: dict[tuple[str, str], Tenant] = {}
        self._count_name_tags = count_name_tags(settings.plans)

    def __len__(self) -> int:
        """Return the number of tenants."""
        return len(self._tenants)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        """Iterate over the names and plans of the tenants, the longest unseen first."""
        return iter(self._tenants)

    def __getitem__(self, key: tuple[str, str]) -> Tenant:
        """Return the tenant of this name and plan."""
        return self._tenants[key]

    def values(self) -> list[Tenant]:
        """Return all tenants."""
        return list(self._tenants.values())

    def clear(self) -> None:
        """Forget all tenants at once."""
        self._tenants.clear()

    def gateway_count(self, request: RequestReceived) -> int:
        """Return how many gateways a request may come through, within the size of the fleet."""
        return max(1, min(request.gateway_count, self._fleet_size))

    def find_or_create(self, request: RequestReceived, plan: Plan, now_ms: float) -> Tenant | None:
        """Return the tenant of a request, known or new; None if no more can be known."""
        key = (request.tenant, plan.name)
        tenant = self._tenants.pop(key, None)
        if tenant is None:
            if len(self._tenants) >= MAX_TENANTS and not self._forget_one(now_ms):
                return None
            tenant = self._create(key, plan, self.gateway_count(request), now_ms)
        self._tenants[key] = tenant
        tenant.last_request_at_ms = now_ms
        return tenant

    def _create(self, key: tuple[str, str], plan: Plan, gateway_count: int, now_ms: float) -> Tenant:
        name_hash = hashlib.blake2s(key[0].encode(), digest_size=HASH_BYTES)
        quota = TenantQuota(
            plan=plan,
            gateway_count=gateway_count,
            now_ms=now_ms,
            uptime_ms=self._uptime.age_ms(now_ms),
            conditions=self._conditions,
        )
        return Tenant(
            key=key,
            plan=plan,
            quota=quota,
            ceiling=CeilingShare(plan, self._uptime.started_at_ms or 0.0),
            report=UsageReport(quota, name_hash.hexdigest() + self._count_name_tags[plan.name]),
            # Windows begin at a phase of the tenant's own, so that their calls do not all come at once.
            window_phase=int.from_bytes(name_hash.digest()[:2], "big") / 65536,
        )

    def _forget_one(self, now_ms: float) -> bool:
        """Forget the longest unseen tenant that may be forgotten; whether there was one."""
        examined = islice(self._tenants.values(), MAX_TENANTS_EXAMINED)
        tenant = next((tenant for tenant in examined if tenant.may_be_forgotten(now_ms)), None)
        if tenant is not None:
            self._forget(tenant)
        return tenant is not None

    def forget_idle(self, now_ms: float) -> None:
        """Forget tenants that have sent nothing for long."""
        for tenant in list(islice(self._tenants.values(), MAX_TENANTS_EXAMINED)):
            if tenant.is_idle(now_ms):
                self._forget(tenant)

    def _forget(self, tenant: Tenant) -> None:
        del self._tenants[tenant.key]
        self._on_forget(tenant)


def count_name_tags(plans: Iterable[Plan]) -> dict[str, str]:
    """Return what tells the counts of a tenant's plans apart, by plan.

    Names of counts never change: gateways of two versions must count together during a rollout.
    """
    plans = tuple(plans)
    lengths_ms = [window_length_ms(plan) if plan.quota_rate > 0 else 0.0 for plan in plans]
    return {plan.name: f".{i}" if lengths_ms.count(lengths_ms[i]) > 1 else "" for i, plan in enumerate(plans)}
