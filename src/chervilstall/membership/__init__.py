"""Group membership: which VMs are alive, from the platform's VM list and probes."""
