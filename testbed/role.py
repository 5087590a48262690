"""One process of an experiment: `python -m testbed.role`.

Its configuration is the first line on standard input, each further line a command, answered in one line. It
ends with its input, so that nothing outlives the experiment.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Any

import msgspec
import uvloop

from api_gateway.configuration import parse
from testbed import configuration
from testbed.clients import Clients
from testbed.counter import Counts
from testbed.discovery import Directory, Instance
from testbed.hollow import HollowFleet, SimulatedConnectionPool
from testbed.hosts import Hosts
from testbed.http import serve


class Stand:
    """A stand-in behind one listening socket or more."""

    def __init__(self, config: dict[str, Any]) -> None:
        self._config = config
        match config["role"]:
            case "discovery":
                listed = msgspec.convert(config["instances"], list[Instance])
                self.it = Directory(listed, config.get("calls_per_s", 0.0))
            case "counter":
                self.it = Counts(config["calls_per_s"], turned_away=config.get("turned_away", 0.0))
            case "hosts":
                self.it = Hosts(seed=config["seed"])

    async def start(self) -> dict[str, Any]:
        servers = [await serve(self.it.handle, self.it.traffic) for _ in range(self._config.get("ports", 1))]
        return {"addresses": [f"127.0.0.1:{s.sockets[0].getsockname()[1]}" for s in servers]}

    async def do(self, command: dict[str, Any]) -> dict[str, Any]:
        if command["do"] == "change":  # some hosts go, others come
            gone = list(self.it.instances.values())[: command["count"]]
            now = time.time() * 1000
            heirs = [
                msgspec.structs.replace(i, instanceId=f"{i.instanceId}.{self.it.generation}", startedAtMs=now)
                for i in gone
            ]
            self.it.change([msgspec.structs.replace(i, lifecycle="gone") for i in gone] + heirs)
        elif command["do"] == "turn_away":
            self.it.turned_away = command["part"]
        elif command["do"] == "late":
            self.it.late = command["part"]
        out = dict(self.it.traffic.read())
        for name in ("whole", "changes", "empty", "away", "calls", "whole_bytes", "generation"):
            if hasattr(self.it, name):
                out[name] = getattr(self.it, name)
        return out


class HollowRole:
    """Hollow gateways and the load on them."""

    def __init__(self, config: dict[str, Any]) -> None:
        self._config = config

    async def start(self) -> dict[str, Any]:
        config = self._config
        configs = [
            parse(
                configuration.raw(
                    me=me,
                    fleet=config["fleet"],
                    discovery=config["discovery"],
                    counter=config["counter"],
                    asked=config["asked"],
                    seed=config["seed"],
                    refill=config["refill"],
                )
            )
            for me in range(config["first"], config["first"] + config["count"])
        ]
        self.fleet = HollowFleet(
            configs,
            customers=config["customers"],
            rate=config["rate"],
            skew=config["skew"],
            seed=config["seed"] + config["first"],
        )
        self.fleet.start()
        return {}

    async def do(self, command: dict[str, Any]) -> dict[str, Any]:
        fleet = self.fleet
        match command["do"]:
            case "ready":
                return {"ready": fleet.ready()}
            case "known":
                return {"behind": fleet.behind(command["generation"])}
            case "load":
                fleet.stub = command.get("stub", False)
                asked, served = fleet.asked, fleet.served
                dials = sum(dispatcher.connections()[1] for dispatcher in fleet.dispatchers)
                fleet.sent.clear()
                fleet.units_asked.clear()
                SimulatedConnectionPool.load.clear()
                await fleet.load(command["seconds"])
                counts = [dispatcher.connections() for dispatcher in fleet.dispatchers]
                return {
                    "asked": fleet.asked - asked,
                    "served": fleet.served - served,
                    "dials": sum(c[1] for c in counts) - dials,
                    "connections": sum(c[0] for c in counts),
                    "added": fleet.added.encode(),
                    "load": dict(SimulatedConnectionPool.load),
                    "sent": list(fleet.sent) if command.get("sent") else [],
                    "units_asked": fleet.units_asked if command.get("sent") else {},
                }
        raise ValueError(command["do"])


class ClientsRole:
    """The load on real gateways."""

    def __init__(self, config: dict[str, Any]) -> None:
        self._config = config

    async def start(self) -> dict[str, Any]:
        config = self._config
        addresses = [(h, int(p)) for h, p in (a.rsplit(":", 1) for a in config["addresses"])]
        self.clients = Clients(
            addresses,
            fleet=config["fleet"],
            customers=config["customers"],
            rate=config["rate"],
            seed=config["seed"],
        )
        return {}

    async def do(self, command: dict[str, Any]) -> dict[str, Any]:
        it = self.clients
        await it.load(command["seconds"])
        return {
            "asked": it.asked,
            "served": it.served,
            "refused": it.refused,
            "failed": it.failed,
            "lost": it.lost_count,
            "added": it.added.encode(),
        }


async def run() -> None:
    """Serve commands until the input ends."""
    reader = asyncio.StreamReader(limit=64 * 1024 * 1024)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    config = msgspec.json.decode(await reader.readline())
    kinds = {"hollow": HollowRole, "clients": ClientsRole}
    role = kinds.get(config["role"], Stand)(config)
    tell(await role.start())
    while line := await reader.readline():
        tell(await role.do(msgspec.json.decode(line)))


def tell(answer: dict[str, Any]) -> None:
    """One line of the answer, and this process's time so far (seconds)."""
    answer["cpu_s"] = time.process_time()
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


if __name__ == "__main__":
    uvloop.run(run())
