"""Changes of the store, relayed to the routers of a zone by a few of them."""
