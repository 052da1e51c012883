"""The agent of a VM: settings, membership, roles, idempotency keys and limits."""
