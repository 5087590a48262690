"""Data types of the gateway's decisions: settings, events, actions and results.

All times are in milliseconds of the caller's clock, all usage is in quota units.
"""
