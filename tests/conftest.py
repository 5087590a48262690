"""Configuration of pytest. Helpers that tests import are in the package `support`."""
