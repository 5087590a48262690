"""Where a close of ours crosses a request of a client: forced by acting while the loop has had no turn."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest
from support.gateway_driver import PLAN, SAFE, settings
from support.http_fakes import LOOPBACK, request_bytes
from support.program import run_scenario

from api_gateway.network.dispatcher import InboundRequest
from api_gateway.network.downstream.connection import IDLE_TIMEOUT_S, DownstreamConnection
from api_gateway.network.downstream.listener import MAX_ACCEPTS_PER_TURN, Listener


class Dispatcher:
    """Serves at once, or holds what is asked for."""

    def __init__(self) -> None:
        plan = dataclasses.replace(PLAN, name="team")
        self.settings = settings(classes=(SAFE,), plans=(plan,), fleet_size=1)
        self.draining = self.ended = False
        self.taken: list[bytes] = []

    def is_ready(self) -> bool:
        return True

    def submit(self, client: DownstreamConnection, order: InboundRequest) -> str:
        self.taken.append(order.wire_id)
        client.respond(200, b"served")
        return order.wire_id.decode()

    def client_disconnected(self, rid: str) -> None:
        raise AssertionError("nothing is open")


class RunningProgram:
    """A server in this process, and clients whose calls give its loop no turn."""

    def __init__(self, sockets: int = 1024) -> None:
        self.dispatcher = Dispatcher()
        self.endpoint = Listener(self.dispatcher, asyncio.get_running_loop(), sockets)
        self.address = self.endpoint.start((LOOPBACK, 0))

    def client(self, *sent: bytes) -> socket.socket:
        client = socket.create_connection(self.address)
        client.setblocking(False)
        for data in sent:
            client.sendall(data)
        return client

    async def until_taken(self, count: int) -> None:
        while len(self.dispatcher.taken) < count:
            await asyncio.sleep(0.001)

    async def read(self, client: socket.socket) -> bytes:
        """All that comes up to the end of the connection, or to a whole answer."""
        data = b""
        while not data.endswith(b"served"):
            try:
                more = await asyncio.get_running_loop().sock_recv(client, 4096)
            except ConnectionResetError:
                more = b""
            if not more:
                break
            data += more
        return data


def test_all_that_waits_in_the_backlog_is_served_before_the_listener_closes() -> None:
    async def scenario() -> None:
        rig = RunningProgram()
        some = 2 * MAX_ACCEPTS_PER_TURN + 3
        clients = [rig.client(request_bytes(request_id=b"id-%d" % i)) for i in range(some)]
        assert rig.endpoint.stop_accepting()  # the loop has had no turn: none is accepted yet
        for client in clients:
            assert (await rig.read(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionRefusedError):
            rig.client()

    run_scenario(scenario, 5)


def test_the_listener_stays_open_while_there_is_no_room_for_its_backlog() -> None:
    async def scenario() -> None:
        rig = RunningProgram(sockets=4)  # two clients
        clients = [rig.client(request_bytes(request_id=b"id-%d" % i)) for i in range(4)]
        assert not rig.endpoint.stop_accepting()
        while not rig.endpoint.stop_accepting():
            await asyncio.sleep(0.01)
        await rig.until_taken(4)
        for client in clients:
            assert (await rig.read(client)).startswith(b"HTTP/1.1 200")

    run_scenario(scenario, 5)


def test_an_idle_connection_whose_next_request_is_unread_is_not_closed() -> None:
    async def scenario() -> None:
        rig = RunningProgram()
        kept, quiet = rig.client(request_bytes(request_id=b"a")), rig.client(request_bytes(request_id=b"b"))
        assert await rig.read(kept) and await rig.read(quiet)
        kept.sendall(request_bytes(request_id=b"c"))
        rig.dispatcher.draining = True
        assert not rig.endpoint.close_idle()
        assert (await rig.read(kept)).startswith(b"HTTP/1.1 200")
        assert await rig.read(quiet) == b""
        while not rig.endpoint.close_idle():  # and its answer was the last on it
            await asyncio.sleep(0.001)
        assert rig.dispatcher.taken == [b"a", b"b", b"c"]

    run_scenario(scenario, 5)


def test_a_connection_that_has_just_come_up_is_given_time_to_ask() -> None:
    async def scenario() -> None:
        rig = RunningProgram()
        fresh, silent = rig.client(), rig.client()
        while len(rig.endpoint.connections) < 2:
            await asyncio.sleep(0.001)
        rig.dispatcher.draining = True
        assert not rig.endpoint.close_idle()
        fresh.sendall(request_bytes(request_id=b"a"))
        assert (await rig.read(fresh)).startswith(b"HTTP/1.1 200")
        while not rig.endpoint.close_idle():
            await asyncio.sleep(0.01)
        assert await rig.read(silent) == b""

    run_scenario(scenario, 5)


def test_a_connection_whose_next_request_is_unread_does_not_give_way() -> None:
    async def scenario() -> None:
        rig = RunningProgram()
        oldest, second = (
            rig.client(request_bytes(request_id=b"a")),
            rig.client(request_bytes(request_id=b"b")),
        )
        assert await rig.read(oldest) and await rig.read(second)
        rig.endpoint._max_connections = 2
        oldest.sendall(request_bytes(request_id=b"c"))
        assert rig.endpoint._ensure_capacity()  # what a third client asks for
        assert (await rig.read(oldest)).startswith(b"HTTP/1.1 200")
        assert await rig.read(second) == b""

    run_scenario(scenario, 5)


def test_a_silent_connection_is_closed_but_not_one_whose_request_is_unread() -> None:
    async def scenario() -> None:
        rig = RunningProgram()
        asks, silent = rig.client(request_bytes(request_id=b"a")), rig.client(request_bytes(request_id=b"b"))
        assert await rig.read(asks) and await rig.read(silent)
        asks.sendall(request_bytes(request_id=b"c"))
        for connection in list(rig.endpoint.connections):
            connection.enforce_timeouts(rig.endpoint.loop.time() + IDLE_TIMEOUT_S + 1)
        assert (await rig.read(asks)).startswith(b"HTTP/1.1 200")
        assert await rig.read(silent) == b""

    run_scenario(scenario, 5)


def test_what_comes_after_the_last_moment_is_refused_and_begins_nothing() -> None:
    async def scenario() -> None:
        rig = RunningProgram()
        rig.dispatcher.draining = rig.dispatcher.ended = True
        client = rig.client(request_bytes(request_id=b"late"))
        assert (await rig.read(client)).startswith(b"HTTP/1.1 503") and not rig.dispatcher.taken

    run_scenario(scenario, 5)
