"""Target selection: chains, load, prefix affinity, outlier ejection, spill-over."""
