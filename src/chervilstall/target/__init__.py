"""The protocol between routers and targets, and HTTP clients that speak it."""
