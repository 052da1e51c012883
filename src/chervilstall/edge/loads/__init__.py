"""Exchange of the load on targets between the routers of a zone."""
