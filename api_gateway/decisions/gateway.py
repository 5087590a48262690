"""Decisions of one gateway: passes each event to the component that handles it, and returns the actions.

Without I/O, clock or global randomness, the same seed, events and times always give the same actions.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.attempt_flow import AttemptFlow
from api_gateway.decisions.counter_health import CounterHealth
from api_gateway.decisions.endpoints import EndpointTable
from api_gateway.decisions.latency import TypicalLatency
from api_gateway.decisions.load_sampling import LoadSampler
from api_gateway.decisions.outlier_detection import OutlierDetector, ProbeBudget
from api_gateway.decisions.pending_requests import PendingRequests
from api_gateway.decisions.quota import QuotaConditions
from api_gateway.decisions.rate_limited_log import RateLimitedLog
from api_gateway.decisions.rejections import Rejections
from api_gateway.decisions.request_flow import RequestFlow
from api_gateway.decisions.retry import RetryPolicy
from api_gateway.decisions.selection import EndpointSelector
from api_gateway.decisions.slow_start import SlowStart
from api_gateway.decisions.subset import EndpointSubset
from api_gateway.decisions.subset_sizing import OVERLOADED_ADMITTED_FRACTION, SubsetSizer
from api_gateway.decisions.tenants import DEFAULT_MAX_TENANTS, TenantTable
from api_gateway.decisions.traffic import TrafficRates
from api_gateway.decisions.uptime import SWEEP_TIMER, SweepTimer, Uptime
from api_gateway.decisions.usage_reporting import UsageReporter
from api_gateway.model.actions import Action, StartTimer, SubscribeToEndpoints
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from api_gateway.model.settings import Settings

SUBSCRIBE_TIMER = "subscribe"
# Backoff after a failed request for the endpoint list; jitter adds up to the same time again.
MIN_SUBSCRIBE_BACKOFF_MS = 500.0

Handler = Callable[[Any, float], None]


class Gateway:
    """Decides what one gateway does after each event.

    Args:
        settings: The gateway's settings.
        seed: Seed of all random draws.
        max_tenants: Maximum number of tenants whose state is kept.

    Raises:
        ValueError: The settings are invalid.
    """

    def __init__(self, settings: Settings, seed: int, max_tenants: int = DEFAULT_MAX_TENANTS) -> None:
        settings.check()
        self.settings = settings
        self.rng = Random(seed)
        self._now_ms = 0.0
        self._actions: list[Action] = []
        self.uptime = Uptime()
        self.sweep_timer = SweepTimer()
        self.log = RateLimitedLog(self._actions)
        self._build_admission()
        self._build_endpoints()
        self._build_tenants(max_tenants)
        self._build_load_sampler()
        self._build_request_flow()
        self._handlers = self._event_handlers()

    def _build_admission(self) -> None:
        """Create the components that measure the load and admit requests."""
        self.admission = AdmissionController(self.settings.classes)
        self.latency = TypicalLatency(self.settings.classes)
        self.traffic = TrafficRates()
        self.pending_requests = PendingRequests()

    def _build_endpoints(self) -> None:
        """Create the components that keep track of the endpoints and select among them."""
        settings = self.settings
        self.endpoints = EndpointTable()
        self.subset = EndpointSubset(self.endpoints, settings, self.rng)
        self.subset_sizer = SubsetSizer(self.subset, settings, self.traffic)
        self.outlier_detector = OutlierDetector(self.endpoints, self.log)
        self.probe_budget = ProbeBudget()
        self.retry_policy = RetryPolicy(settings, self.latency, self.admission.occupancy)
        self.slow_start = SlowStart(
            settings=settings,
            endpoint_table=self.endpoints,
            subset=self.subset,
            traffic=self.traffic,
            latency=self.latency,
            uptime=self.uptime,
            rng=self.rng,
        )
        self.endpoint_selector = EndpointSelector(
            endpoint_table=self.endpoints,
            subset=self.subset,
            subset_sizer=self.subset_sizer,
            slow_start=self.slow_start,
            retry_policy=self.retry_policy,
            probe_budget=self.probe_budget,
            rng=self.rng,
        )

    def _build_tenants(self, max_tenants: int) -> None:
        """Create the components that enforce the tenants' quotas."""
        self.counter_health = CounterHealth(self.log, self.rng)
        self.usage_reporter = UsageReporter(self.settings, self.counter_health, self.rng, self._actions)
        self.tenants = TenantTable(
            settings=self.settings,
            uptime=self.uptime,
            conditions=QuotaConditions(self.admission, self.counter_health, self.rng),
            on_evict=self.usage_reporter.ignore_replies,
            max_tenants=max_tenants,
        )

    def _build_load_sampler(self) -> None:
        """Create the component that measures the load by the results of attempts."""
        self.load_sampler = LoadSampler(
            settings=self.settings,
            admission=self.admission,
            pending_requests=self.pending_requests,
            subset=self.subset,
            outlier_detector=self.outlier_detector,
            traffic=self.traffic,
            uptime=self.uptime,
            sweep_timer=self.sweep_timer,
            log=self.log,
        )

    def _build_request_flow(self) -> None:
        """Create the components that process requests and their attempts with the help of the others."""
        rejections = Rejections(self._actions, self.admission, self.settings.max_retry_after_ms)
        self.attempt_flow = AttemptFlow(
            settings=self.settings,
            actions=self._actions,
            rejections=rejections,
            pending_requests=self.pending_requests,
            endpoint_selector=self.endpoint_selector,
            slow_start=self.slow_start,
            outlier_detector=self.outlier_detector,
            retry_policy=self.retry_policy,
            load_sampler=self.load_sampler,
            admission=self.admission,
            usage_reporter=self.usage_reporter,
            traffic=self.traffic,
            latency=self.latency,
        )
        self.request_flow = RequestFlow(
            settings=self.settings,
            attempt_flow=self.attempt_flow,
            rejections=rejections,
            pending_requests=self.pending_requests,
            tenants=self.tenants,
            usage_reporter=self.usage_reporter,
            admission=self.admission,
            endpoint_table=self.endpoints,
            endpoint_selector=self.endpoint_selector,
            retry_budget=self.retry_policy.budget,
            probe_budget=self.probe_budget,
            traffic=self.traffic,
            latency=self.latency,
        )

    def _event_handlers(self) -> dict[type[Event], Handler]:
        """Return the handler of each event; health checks and gossip are not used."""
        return {
            RequestReceived: self.request_flow.receive,
            AttemptEnded: self.attempt_flow.record_attempt_end,
            CounterReply: self.request_flow.record_counter_reply,
            ResponseStarted: lambda event, _: self.attempt_flow.mark_streaming(event),
            ClientDisconnected: lambda event, _: self.request_flow.record_client_disconnect(event),
            EndpointUpdate: lambda event, _: self._update_endpoints(event),
            TimerFired: self._handle_timer,
            HealthCheckEnded: _ignore,
            GossipReceived: _ignore,
        }

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event, and return the resulting actions.

        Args:
            now_ms: Time of the event; if it is earlier than that of the previous event, the latter is used.
            event: The event.

        Raises:
            TypeError: `event` is not an event of `api_gateway.model.events`.
        """
        self._now_ms = now_ms = max(self._now_ms, now_ms)
        self._actions.clear()  # an event whose handler raised an exception leaves its actions behind
        if not self.uptime.has_started:
            self._start(now_ms)
        self.sweep_timer.detect_stall(now_ms)
        handler = self._handlers.get(type(event))
        if handler is None:
            raise TypeError(f"not an event of api_gateway.model.events: {event!r}")
        handler(event, now_ms)
        return self._actions.copy()

    def _start(self, now_ms: float) -> None:
        self.uptime.start(now_ms)
        self._actions.append(self.sweep_timer.restart(now_ms))
        if self.settings.discovery_by_polling:
            self._actions.append(SubscribeToEndpoints())

    def _update_endpoints(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            backoff_ms = MIN_SUBSCRIBE_BACKOFF_MS * (1 + self.rng.random())
            self._actions.append(StartTimer(SUBSCRIBE_TIMER, backoff_ms))
        else:
            self.endpoints.apply(event)

    def _handle_timer(self, event: TimerFired, now_ms: float) -> None:
        if event.name == SWEEP_TIMER:
            self._sweep(now_ms)
        elif event.name == SUBSCRIBE_TIMER:
            self._actions.append(SubscribeToEndpoints())

    def _sweep(self, now_ms: float) -> None:
        """Update rates, estimates and sizes, decide on overdue requests, and evict idle tenants.

        The size of the subset depends on the admitted fraction and the attempt rate, so it comes after
        them.
        """
        elapsed_ms, uptime_ms = self.sweep_timer.elapsed_ms(now_ms), self.uptime.elapsed_ms(now_ms)
        decay_factor = self.traffic.sweep_completions(elapsed_ms, uptime_ms)
        subset = self.subset.refresh(now_ms)
        self.outlier_detector.sweep(subset, len(subset.ejected))
        self.traffic.sweep_warm_work(elapsed_ms, decay_factor, len(subset.warm))
        self.admission.sweep(
            self.pending_requests.attempts_in_flight / max(len(self.endpoints), 1), decay_factor
        )
        self.load_sampler.update_admission(now_ms)
        self.traffic.sweep_attempts(elapsed_ms, uptime_ms)
        self.subset_sizer.sweep(len(self.endpoints.ring), self._is_overloaded())
        self.request_flow.decide_on_overdue_requests(now_ms)
        self.tenants.evict_idle(now_ms)
        self._actions.append(self.sweep_timer.restart(now_ms))

    def _is_overloaded(self) -> bool:
        """Whether load is shed, most endpoints are ejected, or many attempts are in flight.

        The number of attempts is high if it exceeds half the number of warm endpoints in the subset.
        """
        is_shedding = self.admission.admitted_fraction < OVERLOADED_ADMITTED_FRACTION
        is_loaded = 2 * self.pending_requests.attempts_in_flight > len(self.subset.warm)
        return is_shedding or self.outlier_detector.is_majority_ejected or is_loaded


def _ignore(_event: Event, _now_ms: float) -> None:
    """Ignore an event."""
