"""Connections to the upstream endpoints."""
