"""What a router does where targets, a zone or the store are out of reach."""
