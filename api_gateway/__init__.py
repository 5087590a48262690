"""An API gateway that meters many tenants' usage of a shared back end."""

from api_gateway.decisions.gateway import Gateway

__all__ = ["Gateway"]
