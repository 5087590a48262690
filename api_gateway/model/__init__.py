"""The vocabulary of the gateway: settings, events, actions and results, typed and free of decisions.

Every time is in milliseconds on the caller's clock, every amount of use in quota units.
"""
