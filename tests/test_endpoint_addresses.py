"""A new process at the address of an endpoint that is still listed is not regarded as that endpoint."""

from __future__ import annotations

import pytest
from support.dispatcher_driver import ENDPOINT_NAME, RecordingClient, inbound_request, start_dispatcher
from support.http_fakes import FakeServer, instance, serve
from support.program import async_test

from api_gateway.model.actions import RejectRequest, StartAttempt
from api_gateway.model.endpoints import Endpoint, EndpointStatus
from api_gateway.model.events import AttemptEnded, RequestReceived
from api_gateway.model.results import AttemptResult
from api_gateway.network.discovery_codec import EndpointList, parse_endpoint_list
from api_gateway.network.endpoint_addresses import EndpointAddresses

LATER_MS = 5e12


def entry(name: str, port: int, started_at_ms: float = 0.0, lifecycle: str = "ready") -> dict[str, object]:
    """Return an entry of the endpoint list as discovery sends it."""
    return {**instance(name, port, lifecycle), "startedAtMs": started_at_ms}


def update_of(*entries: dict[str, object]) -> EndpointList:
    return parse_endpoint_list({"generation": 1, "reset": False, "instances": list(entries)})


def statuses(update: EndpointList) -> dict[str, EndpointStatus]:
    return {endpoint.name: endpoint.status for endpoint in update.endpoints}


UP, REMOVED = EndpointStatus.UP, EndpointStatus.REMOVED


def test_update_without_a_shared_address_is_unchanged() -> None:
    addresses = EndpointAddresses()
    update = update_of(entry("a", 1), entry("b", 2, LATER_MS), entry("c", 3, lifecycle="draining"))
    assert addresses.remove_superseded(update, is_full=True) is update
    change = update_of(entry("a", 1, LATER_MS), entry("b", 2, lifecycle="gone"), entry("d", 2, LATER_MS))
    assert addresses.remove_superseded(change, is_full=False) is change


@pytest.mark.parametrize("lifecycle", ["ready", "draining"])
def test_endpoint_is_removed_when_a_later_process_is_listed_at_its_address(lifecycle: str) -> None:
    # Guards against overload: requests for the old endpoint went to the new process, beyond its budget.
    addresses = EndpointAddresses()
    addresses.remove_superseded(update_of(entry("old", 1, lifecycle=lifecycle), entry("b", 2)), is_full=True)
    change = addresses.remove_superseded(update_of(entry("new", 1, LATER_MS)), is_full=False)
    assert statuses(change) == {"new": UP, "old": REMOVED}
    assert list(change.addresses) == ["new"]


def test_superseded_endpoint_stays_removed_until_it_has_another_address_or_a_later_start() -> None:
    addresses = EndpointAddresses()
    addresses.remove_superseded(update_of(entry("old", 1), entry("new", 1, LATER_MS)), is_full=True)
    told_again = addresses.remove_superseded(update_of(entry("old", 1)), is_full=False)
    assert statuses(told_again) == {"old": REMOVED} and not told_again.addresses
    elsewhere = addresses.remove_superseded(update_of(entry("old", 2)), is_full=False)
    assert statuses(elsewhere) == {"old": UP}
    restarted = addresses.remove_superseded(update_of(entry("old", 1, LATER_MS + 1)), is_full=False)
    assert statuses(restarted) == {"old": UP, "new": REMOVED}


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_order_of_a_full_list_does_not_matter(order: tuple[int, int]) -> None:
    entries = (entry("old", 1), entry("new", 1, LATER_MS))
    update = update_of(*(entries[index] for index in order))
    assert statuses(EndpointAddresses().remove_superseded(update, is_full=True)) == {
        "new": UP,
        "old": REMOVED,
    }


def test_endpoints_that_share_an_address_from_the_beginning_are_kept() -> None:
    """A proxy may listen for several endpoints."""
    addresses = EndpointAddresses()
    update = update_of(entry("a", 1), entry("b", 1), entry("c", 1))
    assert addresses.remove_superseded(update, is_full=True) is update
    change = update_of(entry("a", 1, lifecycle="gone"), entry("b", 1, lifecycle="gone"))
    assert addresses.remove_superseded(change, is_full=False) is change
    change = update_of(entry("d", 1, LATER_MS))
    assert addresses.remove_superseded(change, is_full=False) is change


def test_full_list_replaces_all_addresses() -> None:
    addresses = EndpointAddresses()
    addresses.remove_superseded(update_of(entry("new", 1, LATER_MS)), is_full=True)
    update = update_of(entry("old", 1))
    assert addresses.remove_superseded(update, is_full=True) is update


@async_test(limit_s=5)
async def test_no_request_for_an_endpoint_is_sent_to_a_later_process_at_its_address(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against overload and repeats: the new process was regarded as the endpoint that had gone.
    server = FakeServer(serve)
    dispatcher, decisions = await start_dispatcher(monkeypatch, server)
    client = RecordingClient()
    decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000)]
    dispatcher.submit(client, inbound_request())
    assert await client.statuses.get() == 200
    dispatcher._endpoints_updated(update_of(entry("new", server.port, LATER_MS)))
    assert Endpoint(ENDPOINT_NAME, status=REMOVED) in decisions.events[-1].endpoints
    await server.wait_until(lambda fake: fake.connections_closed == 1)
    decisions.next_actions[RequestReceived] = [StartAttempt("r2", ENDPOINT_NAME, 5000)]
    decisions.next_actions[AttemptEnded] = [RejectRequest("r2")]
    dispatcher.submit(client, inbound_request())
    assert await client.statuses.get() == 503
    assert decisions.attempt_results()[-1] == AttemptResult.CONNECT_FAILED
    assert len(server.received) == 1
    server.stop()
