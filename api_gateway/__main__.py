"""Entry point of `python -m api_gateway`: runs one gateway until it is terminated."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from api_gateway.configuration import Configuration, load_configuration
from api_gateway.errors import ConfigurationError, ListenError
from api_gateway.logs import configure_logging, lifecycle_log
from api_gateway.network.address import Address
from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.downstream.listener import Listener
from api_gateway.shutdown import GracefulShutdown

EXIT_OK = 0
EXIT_START_FAILED = 2
# Requests create almost no reference cycles, so the garbage collector can run less often than by default.
GC_THRESHOLD_ALLOCATIONS = 20_000


def main() -> int:
    """Run a gateway until it is terminated.

    Returns:
        The exit status: 0 after a graceful shutdown; 2, with one line on standard error, if the configuration
        is invalid, the gateway cannot listen on its address, or another system call fails.
    """
    try:
        configuration = load_configuration(os.environ)
    except ConfigurationError as error:
        print(error, file=sys.stderr)
        return EXIT_START_FAILED
    configure_logging(configuration.name)
    try:
        uvloop.run(serve(configuration))
    except OSError as error:
        print(error, file=sys.stderr)
        return EXIT_START_FAILED
    return EXIT_OK


async def serve(configuration: Configuration) -> None:
    """Serve requests until a graceful shutdown, which SIGTERM or SIGINT starts, is finished.

    Args:
        configuration: The configuration of the gateway.

    Raises:
        ListenError: The gateway cannot listen on the address for clients.
        OSError: Another system call failed during start-up.
    """
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(configuration, loop)
    listener = Listener(dispatcher, loop, configuration.limits.downstream_connections)
    shutdown = GracefulShutdown(dispatcher, listener, loop)
    _install_signal_handlers(loop, dispatcher, shutdown)
    await _start_up(dispatcher, listener, configuration.listen)
    await shutdown.finished.wait()
    _shut_down(dispatcher)


def _install_signal_handlers(
    loop: asyncio.AbstractEventLoop, dispatcher: Dispatcher, shutdown: GracefulShutdown
) -> None:
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown.start)
    loop.add_signal_handler(signal.SIGHUP, _reload, dispatcher)


async def _start_up(dispatcher: Dispatcher, listener: Listener, address: Address) -> None:
    dispatcher.start()
    # Clients are not accepted before discovery has responded or the time to wait for it has passed: with only
    # the endpoint list of the configuration, requests could go to endpoints that have started to drain in the
    # meantime.
    await dispatcher.startup_complete.wait()
    try:
        host, port = listener.start(address)
    except OSError as error:
        raise ListenError(f"listen: {error}") from error
    lifecycle_log.info("listening on %s:%d", host, port)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_ALLOCATIONS)


def _reload(dispatcher: Dispatcher) -> None:
    try:
        configuration = load_configuration(os.environ, is_reload=True)
    except ConfigurationError as error:
        lifecycle_log.error('reload_failed configuration=kept error="%s"', error)
        return
    dispatcher.reload(configuration)
    lifecycle_log.info("reloaded discovery=%s:%d", *configuration.discovery)


def _shut_down(dispatcher: Dispatcher) -> None:
    # When the event loop closes, it removes its signal handlers first. A later SIGHUP would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    dispatcher.stop()


if __name__ == "__main__":
    sys.exit(main())
