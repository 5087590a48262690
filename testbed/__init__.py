"""The project's own emulator of what the gateway serves, with load and experiments on it.

Beside the gateway, which never imports it. Stand-ins are written from the protocol page; each runs in a
process of its own on loopback addresses (`role`), and an experiment (`scale`) starts, plays and measures.
"""
