"""An API gateway that meters many tenants' use of one shared back end."""

from api_gateway.decisions.gateway import Gateway

__all__ = ["Gateway"]
