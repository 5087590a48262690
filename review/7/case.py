"""Bad clients that send a part of a request and close: the gateway has to stay within its memory."""

from __future__ import annotations

import asyncio
import os
import random
import time
from contextlib import suppress
from pathlib import Path

from review.standins.case import Case, main
from review.standins.client import Client, encode_request, new_id
from review.standins.gateway import MEMORY_MB, Gateway, settings

HOSTS = 3
USUAL_CLIENTS = 10
# Under a third of the 1,024 descriptors.
BAD_CLIENTS = 300
DURATION_S = 40.0
BODY_BYTES = 64 * 1024
SENT_SHARE = (0.5, 0.99)
REST_S = 0.5
CHECK_INTERVAL_S = 0.2
KB_PER_MB = 1024


async def play(case: Case) -> None:
    """Play usual and bad clients, and kill the gateway, as the platform does, once it is over its memory."""
    await case.start_hosts(HOSTS)
    gateway = await case.start_gateway(settings())
    ends_at = time.monotonic() + DURATION_S
    clients = [asyncio.create_task(_usual_client(case, gateway.port, ends_at)) for _ in range(USUAL_CLIENTS)]
    if case.trouble:
        body = os.urandom(BODY_BYTES)
        clients += [asyncio.create_task(_bad_client(gateway.port, body, ends_at)) for _ in range(BAD_CLIENTS)]
    await _watch_memory(case, gateway, ends_at)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)


async def _watch_memory(case: Case, gateway: Gateway, ends_at: float) -> None:
    assert gateway.process is not None
    started_at = time.monotonic()
    peak_mb = 0.0
    while time.monotonic() < ends_at:
        await asyncio.sleep(CHECK_INTERVAL_S)
        if gateway.process.poll() is not None:
            case.broken(f"the gateway ended by itself with {gateway.process.returncode}")
            return
        memory_mb = _private_mb(gateway.process.pid)
        peak_mb = max(peak_mb, memory_mb)
        case.record.write("platform", f"{gateway.name} has {memory_mb:.0f} MB")
        if memory_mb > MEMORY_MB:
            after_s = time.monotonic() - started_at
            case.broken(f"killed for memory after {after_s:.1f} s: {memory_mb:.0f} MB of {MEMORY_MB}")
            gateway.process.kill()
            return
    case.require(peak_mb > 0 and any(host.arrivals for host in case.hosts), "nothing was measured")
    print(f"peak {peak_mb:.0f} MB")


def _private_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / KB_PER_MB
    return 0.0


async def _bad_client(port: int, body: bytes, ends_at: float) -> None:
    await asyncio.sleep(random.uniform(0, REST_S))
    while time.monotonic() < ends_at:
        data = encode_request(
            new_id(), "order-place", random.randrange(1, 2**33), deadline_ms=2500, body=body
        )
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data[: int(len(data) * random.uniform(*SENT_SHARE))])
            await asyncio.sleep(random.uniform(0, REST_S))
            writer.close()


async def _usual_client(case: Case, port: int, ends_at: float) -> None:
    client = Client(port, case.record)
    while time.monotonic() < ends_at:
        request_id = new_id()
        await client.ask(request_id, encode_request(request_id, customer=random.randrange(1, 2**33)))
        await asyncio.sleep(random.uniform(0.05, 0.25))
    client.close()


main(Path(__file__).with_name("record.txt"), play)
