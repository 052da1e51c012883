"""Assignment of models, versions and adapters to targets by fenced orders."""
