"""Where a close of ours crosses a request of a client: forced by acting while the loop has had no turn."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest
from conftest import LOOP, PLAN, SAFE, message, on_loop, settings

from api_gateway.network.dispatcher import Order
from api_gateway.network.downstream import listener as clients_module
from api_gateway.network.downstream.listener import Server

ACCEPTS = clients_module.ACCEPTS


class Core:
    """Serves at once, or holds what is asked for."""

    def __init__(self) -> None:
        plan = dataclasses.replace(PLAN, name="team")
        self.settings = settings(classes=(SAFE,), plans=(plan,), fleet_size=1)
        self.draining = self.ended = False
        self.taken: list[bytes] = []

    def ready(self) -> bool:
        return True

    def request(self, client: clients_module.ClientConnection, order: Order) -> str:
        self.taken.append(order.wire_id)
        client.answer(200, b"served")
        return order.wire_id.decode()

    def left(self, rid: str) -> None:
        raise AssertionError("nothing is open")


class Rig:
    """A server in this process, and clients whose calls give its loop no turn."""

    def __init__(self, sockets: int = 1024) -> None:
        self.core = Core()
        self.server = Server(self.core, asyncio.get_running_loop(), sockets)
        self.address = self.server.start((LOOP, 0))

    def client(self, *sent: bytes) -> socket.socket:
        client = socket.create_connection(self.address)
        client.setblocking(False)
        for data in sent:
            client.sendall(data)
        return client

    async def until_taken(self, count: int) -> None:
        while len(self.core.taken) < count:
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
        rig = Rig()
        some = 2 * ACCEPTS + 3
        clients = [rig.client(message(rid=b"id-%d" % i)) for i in range(some)]
        assert rig.server.stop_accepting()  # the loop has had no turn: none is accepted yet
        for client in clients:
            assert (await rig.read(client)).startswith(b"HTTP/1.1 200")
        with pytest.raises(ConnectionRefusedError):
            rig.client()

    on_loop(scenario, 5)


def test_the_listener_stays_open_while_there_is_no_room_for_its_backlog() -> None:
    async def scenario() -> None:
        rig = Rig(sockets=4)  # two clients
        clients = [rig.client(message(rid=b"id-%d" % i)) for i in range(4)]
        assert not rig.server.stop_accepting()
        while not rig.server.stop_accepting():
            await asyncio.sleep(0.01)
        await rig.until_taken(4)
        for client in clients:
            assert (await rig.read(client)).startswith(b"HTTP/1.1 200")

    on_loop(scenario, 5)


def test_an_idle_connection_whose_next_request_is_unread_is_not_closed() -> None:
    async def scenario() -> None:
        rig = Rig()
        kept, quiet = rig.client(message(rid=b"a")), rig.client(message(rid=b"b"))
        assert await rig.read(kept) and await rig.read(quiet)
        kept.sendall(message(rid=b"c"))
        rig.core.draining = True
        assert not rig.server.close_idle()
        assert (await rig.read(kept)).startswith(b"HTTP/1.1 200")
        assert await rig.read(quiet) == b""
        while not rig.server.close_idle():  # and its answer was the last on it
            await asyncio.sleep(0.001)
        assert rig.core.taken == [b"a", b"b", b"c"]

    on_loop(scenario, 5)


def test_a_connection_that_has_just_come_up_is_given_time_to_ask() -> None:
    async def scenario() -> None:
        rig = Rig()
        fresh, silent = rig.client(), rig.client()
        while len(rig.server.connections) < 2:
            await asyncio.sleep(0.001)
        rig.core.draining = True
        assert not rig.server.close_idle()
        fresh.sendall(message(rid=b"a"))
        assert (await rig.read(fresh)).startswith(b"HTTP/1.1 200")
        while not rig.server.close_idle():
            await asyncio.sleep(0.01)
        assert await rig.read(silent) == b""

    on_loop(scenario, 5)


def test_a_connection_whose_next_request_is_unread_does_not_give_way() -> None:
    async def scenario() -> None:
        rig = Rig()
        oldest, second = rig.client(message(rid=b"a")), rig.client(message(rid=b"b"))
        assert await rig.read(oldest) and await rig.read(second)
        rig.server._most = 2
        oldest.sendall(message(rid=b"c"))
        assert rig.server._room()  # what a third client asks for
        assert (await rig.read(oldest)).startswith(b"HTTP/1.1 200")
        assert await rig.read(second) == b""

    on_loop(scenario, 5)


def test_a_silent_connection_is_closed_but_not_one_whose_request_is_unread() -> None:
    async def scenario() -> None:
        rig = Rig()
        asks, silent = rig.client(message(rid=b"a")), rig.client(message(rid=b"b"))
        assert await rig.read(asks) and await rig.read(silent)
        asks.sendall(message(rid=b"c"))
        for connection in list(rig.server.connections):
            connection.check(rig.server.loop.time() + clients_module.IDLE_S + 1)
        assert (await rig.read(asks)).startswith(b"HTTP/1.1 200")
        assert await rig.read(silent) == b""

    on_loop(scenario, 5)


def test_what_comes_after_the_last_moment_is_refused_and_begins_nothing() -> None:
    async def scenario() -> None:
        rig = Rig()
        rig.core.draining = rig.core.ended = True
        client = rig.client(message(rid=b"late"))
        assert (await rig.read(client)).startswith(b"HTTP/1.1 503") and not rig.core.taken

    on_loop(scenario, 5)
