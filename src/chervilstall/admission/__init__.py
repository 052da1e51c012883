"""Admission control: request classes, fair queueing, limits and retry budgets."""
