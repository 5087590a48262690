"""Emulator of the systems around the gateway, with load generation and a scale experiment.

The gateway never imports this package. Each emulated system follows its protocol page and runs in a process
of its own on loopback addresses (`testbed.worker`). An experiment (`testbed.scale`) starts the processes,
generates load and measures.
"""
