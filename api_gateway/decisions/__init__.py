"""The decisions of one gateway: pure modules with no I/O, clock or global randomness."""
