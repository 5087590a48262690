"""The scale run: one fleet at three sizes of its list of hosts, idle and under load, and its figures."""

from __future__ import annotations

import asyncio
import contextlib
import os
import platform
import re
import shlex
import signal
import statistics
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from testbed import configuration
from testbed.children import ROOT, Child, ChildError, Children
from testbed.fit import line
from testbed.latency import quantiles
from testbed.plan import Change, Fit, Plan, Quotas, Report, Role, Size
from testbed.quotas import reckon

EACH = 100  # hollow gateways to a process
MOST_PROCESSES = 300
TARGET_HOSTS = 11_000
COUNTER_CALLS_PER_S = 20_000.0
HOST_PROCESSES, HOST_PORTS = 2, 32
READY_S = 120.0
KB_PER_HOST = 1.0  # what a hollow gateway holds of each host, for the bound on memory
LISTENING = re.compile(rb"listening on 127\.0\.0\.1:(\d+)")


def memory_needed_mb(plan: Plan) -> float:
    """About what the processes of a run hold at its largest size."""
    return (
        60 * (plan.gateways / EACH + 5)
        + plan.gateways * (0.3 + plan.hosts * KB_PER_HOST / 1024)
        + (plan.real * (40 + plan.hosts * KB_PER_HOST / 1024))
    )


def machine_memory_mb() -> float:
    """What this machine has."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20


class Fleet:
    """All processes at one size."""

    def __init__(self, plan: Plan, hosts: int, children: Children, folder: Path) -> None:
        self.plan, self.hosts, self.children, self.folder = plan, hosts, children, folder
        self.fleet = plan.gateways + plan.real
        self.refill = max(
            statistics.mean(configuration.UNITS) * plan.rate * self.fleet / plan.customers, 0.05
        )
        self.hollow: list[Child] = []
        self.real: list[Child] = []
        self.stands: list[Child] = []
        self.clients: Child | None = None

    async def start(self) -> float:
        """Start all and wait until all are ready; how long the gateways took."""
        plan, start = self.plan, self.children.start
        for i in range(HOST_PROCESSES if plan.real else 0):
            self.stands.append(
                await start("hosts", {"role": "hosts", "seed": plan.seed + i, "ports": HOST_PORTS})
            )
        ports = [a for child in self.stands for a in child.facts["addresses"]] or ["127.0.0.1:9"]
        listed = msgspec.to_builtins(configuration.instances(self.hosts, ports))
        calls = plan.discovery_calls if plan.asked else 0.0
        self.discovery = await start(
            "discovery", {"role": "discovery", "instances": listed, "calls_per_s": calls}
        )
        self.counter = await start("counter", {"role": "counter", "calls_per_s": COUNTER_CALLS_PER_S})
        self.stands += [self.discovery, self.counter]
        common = {
            "discovery": self.discovery.facts["addresses"][0],
            "counter": self.counter.facts["addresses"][0],
            "asked": plan.asked,
            "seed": plan.seed,
            "fleet": self.fleet,
            "refill": self.refill,
        }
        began = time.monotonic()
        for first in range(0, plan.gateways, EACH):
            self.hollow.append(
                await start(
                    "hollow",
                    {
                        "role": "hollow",
                        "first": first,
                        "count": min(EACH, plan.gateways - first),
                        "customers": plan.customers,
                        "rate": plan.rate,
                        "skew": plan.skew,
                        **common,
                    },
                )
            )
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        for me in range(plan.gateways, self.fleet):
            path = self.folder / f"n{me}-{self.hosts}.json"
            path.write_bytes(msgspec.json.encode(configuration.raw(me=me, **common)))
            self.real.append(await self.children.start_real(command, path))
        while True:
            ready = sum([(await child.ask(READY_S, do="ready"))["ready"] for child in self.hollow])
            addresses = [m[1].decode() for child in self.real if (m := LISTENING.search(child.said()))]
            if ready == plan.gateways and len(addresses) == plan.real:
                break
            if time.monotonic() - began > READY_S:
                raise ChildError(f"{ready} of {plan.gateways} hollow gateways ready after {READY_S:g} s")
            await asyncio.sleep(0.05)
        took = time.monotonic() - began
        if self.real:
            self.clients = await start(
                "clients",
                {
                    "role": "clients",
                    "addresses": [f"127.0.0.1:{p}" for p in addresses],
                    "fleet": self.fleet,
                    "customers": plan.customers,
                    "rate": plan.real_rate,
                    "seed": plan.seed,
                },
            )
        return took

    async def read(self) -> dict[str, Any]:
        """Processor time by child and traffic by stand-in, now."""
        traffic = {c.kind: await c.ask(10, do="read") for c in (self.discovery, self.counter)}
        hosts = [await c.ask(10, do="read") for c in self.stands if c.kind == "hosts"]
        traffic["hosts"] = {name: sum(h[name] for h in hosts) for name in ("opened", "open")}
        return {"at": time.monotonic(), "cpu": {c: c.cpu_s() for c in self.children.all}, "traffic": traffic}

    async def load(self, seconds: float, **more: Any) -> list[dict[str, Any]]:
        """Load on all gateways at once; the answers of the hollow processes, then that of the clients."""
        limit = 4 * seconds + 60
        asks = [child.ask(limit, do="load", seconds=seconds, **more) for child in self.hollow]
        if self.clients is not None and not more:
            asks.append(self.clients.ask(limit, do="load", seconds=seconds))
        return list(await asyncio.gather(*asks))


def _spent(before: dict[str, Any], after: dict[str, Any], children: list[Child]) -> float:
    return sum(after["cpu"][c] - before["cpu"][c] for c in children)


def _rates(before: dict[str, Any], after: dict[str, Any], kind: str, gateways: int) -> tuple[float, float]:
    span = (after["at"] - before["at"]) * gateways
    one, two = before["traffic"][kind], after["traffic"][kind]
    return (two["messages"] - one["messages"]) / span, (two["bytes"] - one["bytes"]) / span


async def play_size(
    plan: Plan, hosts: int, folder: Path, say: Callable[[str], None], priced: bool
) -> tuple[Size, Quotas | None]:
    """One size: start, idle, load, and the price of quotas if asked for."""
    async with Children(MOST_PROCESSES) as children:
        fleet = Fleet(plan, hosts, children, folder)
        say(f"{hosts} hosts: starting {plan.gateways} hollow and {plan.real} real gateways")
        start_s = await fleet.start()
        await asyncio.sleep(0.5)
        say(f"{hosts} hosts: idle")
        quiet = await fleet.read()
        start_bytes = quiet["traffic"]["discovery"]["bytes"] / fleet.fleet
        await asyncio.sleep(max(plan.seconds / 2, 1.0))
        idle = await fleet.read()
        say(f"{hosts} hosts: the load's own cost")
        stub = await fleet.load(0.5, stub=True)
        calibrated = await fleet.read()
        say(f"{hosts} hosts: load for {plan.seconds:g} s")
        answers = await fleet.load(plan.seconds)
        loaded = await fleet.read()
        if not any(a["served"] for a in answers):
            raise ChildError("no request was served: there is nothing to report")
        roles = _roles(fleet, quiet, idle, calibrated, loaded, stub, answers)
        load = Counter()
        for a in answers[: len(fleet.hollow)]:
            load.update(a["load"])
        mean = sum(load.values()) / hosts
        size = Size(
            hosts=hosts,
            start_s=start_s,
            roles=roles,
            load_max_over_mean=max(load.values(), default=0) / mean if mean else 0.0,
            whole_list_bytes=loaded["traffic"]["discovery"]["whole_bytes"],
            start_bytes_each=start_bytes,
            change=await _change(fleet, say) if fleet.hollow else None,
        )
        quotas = await _price(fleet, say) if priced and fleet.hollow else None
        return size, quotas


def _roles(
    fleet: Fleet,
    quiet: dict,
    idle: dict,
    calibrated: dict,
    loaded: dict,
    stub: list[dict],
    answers: list[dict],
) -> list[Role]:
    plan, hollow, real = fleet.plan, fleet.hollow, fleet.real
    idle_s, load_s = idle["at"] - quiet["at"], loaded["at"] - calibrated["at"]
    roles = []
    if hollow:
        mine = answers[: len(hollow)]
        asked = sum(a["asked"] for a in mine)
        rest = _spent(quiet, idle, hollow) / idle_s
        # What the load itself costs, at rest in between, comes off.
        own = max(_spent(idle, calibrated, hollow) - rest * (calibrated["at"] - idle["at"]), 0.0) / max(
            sum(a["asked"] for a in stub), 1
        )
        spent = _spent(calibrated, loaded, hollow)
        roles.append(
            Role(
                role="hollow gateway",
                processes=len(hollow),
                gateways=plan.gateways,
                requests=asked,
                served=sum(a["served"] for a in mine),
                cpu_s=spent,
                cpu_us_per_request=((spent - rest * load_s) / max(asked, 1) - own) * 1e6,
                cpu_us_per_idle_s=rest / plan.gateways * 1e6,
                added_ms=quantiles([a["added"] for a in mine]),
                memory_mb=sum(c.memory_mb() for c in hollow) / plan.gateways,
                dials_per_request=sum(a["dials"] for a in mine) / max(asked, 1),
                connections=sum(a["connections"] for a in mine) / plan.gateways,
            )
        )
    if real:
        theirs = answers[-1]
        rest = _spent(quiet, idle, real) / idle_s
        spent = _spent(calibrated, loaded, real)
        roles.append(
            Role(
                role="real gateway",
                processes=len(real),
                gateways=len(real),
                requests=theirs["asked"],
                served=theirs["served"],
                cpu_s=spent,
                cpu_us_per_request=(spent - rest * load_s) / max(theirs["asked"], 1) * 1e6,
                cpu_us_per_idle_s=rest / len(real) * 1e6,
                dials_per_request=(loaded["traffic"]["hosts"]["opened"] - idle["traffic"]["hosts"]["opened"])
                / max(theirs["asked"], 1),
                connections=loaded["traffic"]["hosts"]["open"] / len(real),
                added_ms=quantiles([theirs["added"]]),
                memory_mb=sum(c.memory_mb() for c in real) / len(real),
            )
        )
    for child in (fleet.discovery, fleet.counter):
        messages, amount = _rates(calibrated, loaded, child.kind, fleet.fleet)
        idle_messages, idle_amount = _rates(quiet, idle, child.kind, fleet.fleet)
        roles.append(
            Role(
                role=child.kind,
                processes=1,
                gateways=fleet.fleet,
                cpu_s=_spent(calibrated, loaded, [child]),
                cpu_us_per_idle_s=_spent(quiet, idle, [child]) / idle_s / fleet.fleet * 1e6,
                memory_mb=child.memory_mb(),
                messages_per_s=messages,
                bytes_per_s=amount,
                idle_messages_per_s=idle_messages,
                idle_bytes_per_s=idle_amount,
            )
        )
    return roles


async def _change(fleet: Fleet, say: Callable[[str], None]) -> Change:
    """Replace a fiftieth of the hosts at once, and wait until every hollow gateway knows."""
    count = max(fleet.hosts // 50, 1)
    say(f"{fleet.hosts} hosts: {count} are replaced")
    before = await fleet.read()
    generation = (await fleet.discovery.ask(60, do="change", count=count))["generation"]
    began = time.monotonic()
    while any([(await c.ask(60, do="known", generation=generation))["behind"] for c in fleet.hollow]):
        if time.monotonic() - began > READY_S:
            raise ChildError(f"a change was not told everywhere within {READY_S:g} s")
        await asyncio.sleep(0.01)
    told_s = time.monotonic() - began
    await asyncio.sleep(1.0)
    after = await fleet.read()
    sent = after["traffic"]["discovery"]["bytes"] - before["traffic"]["discovery"]["bytes"]
    return Change(
        hosts_replaced=count,
        told_s=told_s,
        bytes_each=sent / fleet.fleet,
        cpu_ms_each=_spent(before, after, fleet.hollow) / fleet.plan.gateways * 1000,
    )


async def _price(fleet: Fleet, say: Callable[[str], None]) -> Quotas:
    plan = fleet.plan
    say(f"quotas with {plan.turned_away:.0%} of the counter's calls turned away")
    before = await fleet.counter.ask(10, do="turn_away", part=plan.turned_away)
    answers = await fleet.load(max(plan.seconds, 5.0), sent=True)
    after = await fleet.counter.ask(10, do="turn_away", part=0.0)
    asked: Counter[int] = Counter()
    for answer in answers:
        asked.update({int(who): units for who, units in answer["units_asked"].items()})
    inside, beyond, allowed = reckon(
        [tuple(entry) for a in answers for entry in a["sent"]],
        asked,
        refill=fleet.refill,
        burst=configuration.burst(fleet.refill),
        seconds=max(plan.seconds, 5.0),
    )
    calls = after["calls"] - before["calls"]
    return Quotas(
        turned_away=plan.turned_away,
        calls_turned_away=(after["away"] - before["away"]) / max(calls, 1),
        inside_units=inside,
        beyond_units=beyond,
        price=beyond / allowed if allowed else 0.0,
    )


def fits(sizes: list[Size]) -> list[Fit]:
    """Lines over the sizes for all that may grow with the list."""
    out = []
    wanted = [
        ("hollow gateway", "cpu_us_per_request", "us"),
        ("hollow gateway", "cpu_us_per_idle_s", "us"),
        ("hollow gateway", "memory_mb", "MB"),
        ("real gateway", "cpu_us_per_request", "us"),
        ("real gateway", "cpu_us_per_idle_s", "us"),
        ("real gateway", "memory_mb", "MB"),
        ("discovery", "bytes_per_s", "bytes/s"),
        ("counter", "messages_per_s", "1/s"),
    ]
    largest = max(size.hosts for size in sizes)
    points = [
        (
            f"{role}: {field}",
            unit,
            [
                (size.hosts, getattr(r, field))
                for size in sizes
                for r in size.roles
                if r.role == role and getattr(r, field) is not None
            ],
        )
        for role, field, unit in wanted
    ]
    points.append(("whole list", "bytes", [(size.hosts, float(size.whole_list_bytes)) for size in sizes]))
    for figure, unit, pairs in points:
        if len(pairs) >= 3:
            intercept, slope, spread = line([p[0] for p in pairs], [p[1] for p in pairs])
            out.append(
                Fit(
                    figure=figure,
                    unit=unit,
                    intercept=intercept,
                    slope_per_1000_hosts=1000 * slope,
                    spread=spread,
                    at_target=intercept + slope * TARGET_HOSTS,
                    extrapolated=largest < TARGET_HOSTS,
                )
            )
    return out


async def run(plan: Plan, command: list[str], say: Callable[[str], None]) -> Report:
    """Play the plan. Children are ended whatever happens."""
    began, sizes, quotas = time.monotonic(), [], None
    with tempfile.TemporaryDirectory(prefix="testbed-") as folder:
        for hosts in plan.sizes():
            size, priced = await play_size(plan, hosts, Path(folder), say, hosts == max(plan.sizes()))
            sizes.append(size)
            quotas = priced or quotas
    notes = [
        "Times of one machine that ran all roles: slopes compare, single figures do not.",
        "Hollow gateways have no client or host sockets; what those cost shows at the real ones.",
        "A message is a request to that role; the watch of a pushed list is one.",
    ]
    return Report(
        plan=plan,
        command=shlex.join(command),
        machine=platform.machine(),
        cores=os.cpu_count() or 0,
        took_s=time.monotonic() - began,
        sizes=sizes,
        fits=fits(sizes) if len(sizes) >= 3 else [],
        quotas=quotas,
        notes=notes,
    )


def play(plan: Plan, command: list[str], say: Callable[[str], None]) -> Report:
    """Run to the end; Ctrl-C ends the children first."""
    with contextlib.closing(asyncio.new_event_loop()) as loop:
        task = loop.create_task(run(plan, command, say))
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return loop.run_until_complete(task)
