"""Network layer: connects the decisions to clients, endpoints, the counter and discovery."""
