"""Selection of the targets that run a request through a model pipeline."""
