"""Connections from clients: the listener and the parsing and validation of requests."""
