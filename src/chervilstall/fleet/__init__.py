"""What a router believes about targets, routes and keys, and how it learns it."""
