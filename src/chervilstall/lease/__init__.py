"""Leases in the platform's store that stay exclusive across process pauses."""
