"""Runs gateways for a simulator that is connected to standard input and output.

The simulator sends batches of events, all events of a batch with the same time. The response to a batch has
one line for each action of a gateway, a `BROKEN` line for each event whose handling failed, and the line
`OK`.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from typing import TextIO

from api_gateway.decisions.gateway import Gateway
from api_gateway.errors import InvalidSettingError, MalformedLineError
from api_gateway.model.endpoints import Endpoint
from api_gateway.model.events import EndpointUpdate, Event
from api_gateway.simulator import codec
from api_gateway.simulator.action_codec import encode_action, encode_failure

BATCH_END = ["END"]
BATCH_RESPONSE_END = "OK"
CATALOG = "CATALOG"

EXIT_OK = 0
EXIT_OUTPUT_CLOSED = 1
EXIT_MALFORMED_INPUT = 2


class SimulatorAdapter:
    """Reads batches of events, passes each event to its gateway, and writes the resulting actions.

    Attributes:
        line_number: Number of the last line read; the first line is 1.
    """

    def __init__(self, lines: Iterable[str], output: TextIO) -> None:
        self.line_number = 0
        self._lines: Iterator[str] = iter(lines)
        self._output = output
        self._gateways: dict[str, Gateway] = {}
        self._catalogs: dict[int, tuple[Endpoint, ...]] = {}

    def run(self) -> None:
        """Respond to batches until the end of the input.

        Raises:
            MalformedLineError: A line does not follow the format, or the input ends within a batch.
        """
        while (parts := self._read_line()) is not None:
            if parts == [""]:
                continue
            response_lines = self._handle_batch(codec.decode_batch_header(parts))
            self._output.write("".join(line + "\n" for line in response_lines))
            self._output.flush()

    def _read_line(self) -> list[str] | None:
        line = next(self._lines, None)
        if line is None:
            return None
        self.line_number += 1
        if not line.endswith("\n"):
            raise MalformedLineError("the line does not end with a newline; the input is truncated")
        return line.rstrip("\r\n").split(" ")

    def _handle_batch(self, now_ms: float) -> list[str]:
        response_lines: list[str] = []
        while (parts := self._read_line()) != BATCH_END:
            if parts is None:
                raise MalformedLineError("the input ends before the END of a batch")
            if parts[0] == CATALOG:
                self._read_catalog(codec.decode_catalog_header(parts))
            else:
                response_lines.extend(self._handle_message(now_ms, parts))
        return [*response_lines, BATCH_RESPONSE_END]

    def _read_catalog(self, header: codec.CatalogHeader) -> None:
        endpoints = []
        for _ in range(header.entry_count):
            parts = self._read_line()
            if parts is None:
                raise MalformedLineError("the input ends before the last entry of a catalog")
            endpoints.append(codec.decode_endpoint(parts))
        self._catalogs[header.number] = tuple(endpoints)

    def _handle_message(self, now_ms: float, parts: list[str]) -> list[str]:
        try:
            message = codec.decode_message(parts)
        except InvalidSettingError as error:
            # Reported like a value out of range, for which `Settings.check` raises a ValueError with the same
            # form of text.
            return [encode_failure(parts[1], ValueError.__name__, f"{error.field}: {error.problem}")]
        if isinstance(message, codec.CatalogUpdate):
            message = self._resolve_catalog(message)
        gateway_name = parts[1]
        try:
            return self._dispatch(now_ms, gateway_name, message)
        except Exception as error:  # an error in the decisions of one gateway must not stop the others
            text = " ".join(str(error).split())
            return [encode_failure(gateway_name, type(error).__name__, text)]

    def _resolve_catalog(self, update: codec.CatalogUpdate) -> EndpointUpdate:
        if update.catalog is None:
            return EndpointUpdate(update.kind)
        if update.catalog not in self._catalogs:
            raise MalformedLineError(f"there is no catalog with the number {update.catalog}")
        return EndpointUpdate(update.kind, self._catalogs[update.catalog])

    def _dispatch(
        self, now_ms: float, gateway_name: str, message: Event | codec.OpenGateway | codec.CloseGateway
    ) -> list[str]:
        if isinstance(message, codec.OpenGateway):
            self._gateways[gateway_name] = Gateway(message.settings, message.seed)
            return []
        if isinstance(message, codec.CloseGateway):
            self._gateways.pop(gateway_name, None)
            return []
        gateway = self._gateways.get(gateway_name)
        # An event for a gateway that is not open, such as one that was closed, is ignored.
        if gateway is None:
            return []
        return [encode_action(gateway_name, action) for action in gateway.handle(now_ms, message)]


def main() -> int:
    """Respond to the batches on standard input until it ends.

    Returns:
        The exit status: 0 at the end of the input; 1 if standard output was closed; 2, with one line on
        standard error, after a malformed line.
    """
    sys.stdin.reconfigure(encoding="utf-8", newline="\n")
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")
    adapter = SimulatorAdapter(sys.stdin, sys.stdout)
    try:
        adapter.run()
    except (MalformedLineError, UnicodeDecodeError) as error:
        print(f"line {adapter.line_number}: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return EXIT_OK
