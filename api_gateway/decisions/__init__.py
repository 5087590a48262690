"""Decisions of one gateway: modules without I/O, clock or global randomness."""
