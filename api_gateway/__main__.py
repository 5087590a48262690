"""`python -m api_gateway`: run one gateway, from its start-up to its shutdown."""

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
GC_THRESHOLD_ALLOCATIONS = (
    20_000  # allocations; requests leave next to no cycles, so the collector can run seldom
)


def main() -> int:
    """Run a gateway until it is terminated.

    Returns:
        The exit status: 0 after a graceful shutdown; 2 with one line on standard error if the configuration
        cannot be used, the address cannot be listened on, or another call of the system failed.
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
    """Serve requests until SIGTERM or SIGINT has been handled.

    Args:
        configuration: The configuration of the gateway.

    Raises:
        ListenError: The address for clients cannot be listened on.
        OSError: Another call of the system failed during start-up.
    """
    loop = asyncio.get_running_loop()
    dispatcher = Dispatcher(configuration, loop)
    listener = Listener(dispatcher, loop, configuration.max_descriptors)
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
    await dispatcher.startup_complete.wait()  # clients are accepted once endpoints are known
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
    # The loop removes its signal handlers first when it closes, and a SIGHUP would then end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    dispatcher.stop()


if __name__ == "__main__":
    sys.exit(main())
