"""Shared fixtures; what tests import lies in `support`."""
