"""Soak tests that run real gateway daemons between stand-ins and inject randomized faults."""
