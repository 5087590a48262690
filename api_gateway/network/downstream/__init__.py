"""Client connections: the listener, request parsing and validation, and response serialization."""
