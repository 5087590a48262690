"""Some clients stop in the middle of a request whose body comes in small chunks, and stay."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from collections import Counter as Tally
from pathlib import Path

from review.support import clients
from review.support.gateway import Gateway
from review.support.http import Message, read_message, response
from review.support.platform import LOOPBACK, HttpServer
from review.support.record import Record
from review.support.runner import has_trouble, run_case

# The highest limits of a scored day.
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
HOST_COUNT = 6
# Usual clients.
REQUESTS_PER_S = 25.0
CUSTOMERS = 50
MENU_READ_SHARE = 0.6
DEADLINE_MS = 2500
MEAN_WORK_S = 0.1
ANSWER_SLACK_S = 0.5
DURATION_S = 10.0
# Clients that stop in the middle of a request: fewer than a third of the descriptors.
STOPPING_CLIENTS = 300
STOPPING_FROM_S = 3.0
# The part of the body that they send: 44,000 bytes, in chunks of two bytes.
CHUNK = b"2\r\nab\r\n"
CHUNKS_SENT = 22_000
# A bad client is owed an error or a close within 3 s.
BAD_CLIENT_WAIT_S = 3.0
MEMORY_CHECK_INTERVAL_S = 0.02


class Host(HttpServer):
    """Answers each request after its work."""

    def __init__(self, number: int, rng: random.Random) -> None:
        super().__init__()
        self.record: Record | None = None
        self._number = number
        self._rng = rng

    async def answer(self, request: Message) -> bytes:
        """Run a request."""
        if self.record is not None:
            self.record.add("host_received", host=self._number, request=request.request_id)
        await asyncio.sleep(self._rng.expovariate(1 / MEAN_WORK_S))
        return response(f"host {self._number} served {request.request_id}".encode())


class Platform:
    """The platform: it kills a gateway that goes over its memory limit.

    Attributes:
        peak_mb: Highest memory of the gateway so far, in MB.
        has_killed: Whether the gateway was over its limit.
    """

    def __init__(self, gateway: Gateway, record: Record) -> None:
        self.peak_mb = 0.0
        self.has_killed = False
        self._gateway = gateway
        self._record = record

    async def watch(self) -> None:
        """Check the memory until the gateway is killed."""
        while not self.has_killed:
            memory_mb = self._gateway.memory_mb()
            if memory_mb > self.peak_mb + 10:
                self._record.add("memory", mb=f"{memory_mb:.0f}", limit_mb=LIMITS["memory_mb"])
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > LIMITS["memory_mb"]:
                self.has_killed = True
                self._record.add("OVER_MEMORY_LIMIT", mb=f"{memory_mb:.0f}", limit_mb=LIMITS["memory_mb"])
                self._gateway.signal(signal.SIGKILL)
            await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)


class Clients:
    """All clients of the gateway.

    Attributes:
        answers: Number of answers to usual clients by status; `none` if there was none.
        stopping_answers: The same for the clients that stop.
    """

    def __init__(self, port: int, rng: random.Random, record: Record) -> None:
        self.answers: Tally[str] = Tally()
        self.stopping_answers: Tally[str] = Tally()
        self._port = port
        self._rng = rng
        self._record = record

    async def send(self, number: int) -> None:
        """Send the request of a usual client, and wait for its answer."""
        request_id = f"{number:016x}"
        class_name = "menu-read" if self._rng.random() < MENU_READ_SHARE else "order-place"
        tenant = 0xB4D60000 + number % CUSTOMERS
        data = clients.request(request_id, class_name, deadline_ms=DEADLINE_MS, tenant=tenant)
        self._record.add("client_sent", request=request_id, kind=class_name)
        outcome = await self._exchange(data, DEADLINE_MS / 1000 + ANSWER_SLACK_S)
        self.answers[outcome] += 1
        self._record.add("client_got", request=request_id, kind=class_name, answer=outcome)

    async def stop_midway(self, number: int) -> None:
        """Send the greater part of a request and stay until there is an error or a close.

        Without the disruption, send a whole request with the same body and its length.
        """
        request_id = f"{0xFFFF0000 + number:016x}"
        tenant = 0xB4D60000 + number % CUSTOMERS
        data = clients.request(
            request_id, "order-place", deadline_ms=DEADLINE_MS, tenant=tenant, body=b"ab" * CHUNKS_SENT
        )
        if has_trouble():
            head = data.partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\n"
            data = head + CHUNK * CHUNKS_SENT
        self._record.add("client_sent", request=request_id, bytes=len(data), is_whole=not has_trouble())
        outcome = await self._exchange(data, BAD_CLIENT_WAIT_S)
        self.stopping_answers[outcome] += 1
        self._record.add("client_got", request=request_id, answer=outcome)

    async def _exchange(self, data: bytes, timeout_s: float) -> str:
        """Send bytes on a new connection, and return the status of the answer, or `none`."""
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self._port)
        except OSError:
            return "none"
        try:
            async with asyncio.timeout(timeout_s):
                writer.write(data)
                return str((await read_message(reader)).status)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            return "none"
        finally:
            writer.close()


def main() -> int:
    """Run the case, and return the exit status."""
    rng = random.Random()
    hosts = [Host(i, rng) for i in range(HOST_COUNT)]

    async def play(gateway: Gateway, record: Record) -> bool:
        for host in hosts:
            host.record = record
        users, platform = Clients(gateway.port, rng, record), Platform(gateway, record)
        watch = asyncio.create_task(platform.watch())
        tasks: list[asyncio.Task[None]] = []
        has_stopping_clients = False
        while record.elapsed_s() < DURATION_S and not platform.has_killed:
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
            tasks.append(asyncio.create_task(users.send(len(tasks))))
            if record.elapsed_s() > STOPPING_FROM_S and not has_stopping_clients:
                has_stopping_clients = True
                tasks += [asyncio.create_task(users.stop_midway(i)) for i in range(STOPPING_CLIENTS)]
        await asyncio.gather(*tasks)
        watch.cancel()
        record.add(
            "summary",
            peak_mb=f"{platform.peak_mb:.0f}",
            limit_mb=LIMITS["memory_mb"],
            killed=platform.has_killed,
            answers=dict(users.answers),
            stopping_clients=dict(users.stopping_answers),
        )
        print(record.last_line())
        return not platform.has_killed

    return run_case(Path(__file__).parent, hosts, hosts, play, LIMITS)


if __name__ == "__main__":
    sys.exit(main())
