"""A router for model pipelines split over mixed accelerators."""
