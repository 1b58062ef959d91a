"""Benchmarks of the query tier, compared with a plain fan-out."""
