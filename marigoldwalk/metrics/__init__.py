"""Counters and latency histograms, and their export in the Prometheus text format."""
