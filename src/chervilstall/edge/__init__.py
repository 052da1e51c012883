"""The router: a reverse proxy that forwards callers' requests to targets."""
