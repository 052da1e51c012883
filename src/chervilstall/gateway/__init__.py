"""The router's HTTP interface for callers: parsing, authentication and execution."""
