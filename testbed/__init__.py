"""Testbed for the gateway: emulators of the systems around it, load generators and a scale experiment.

The gateway never imports this package. Each emulated system implements the protocol of its documentation
page, and runs in a worker process on loopback addresses (`testbed.worker`). An experiment (`testbed.scale`)
starts the processes, generates load and measures.
"""
