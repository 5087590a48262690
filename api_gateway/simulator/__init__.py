"""Runs gateways for a simulator, with events on standard input and actions on standard output."""
