"""Benchmarks of control overhead: how one daemon's cost grows with the size of the fleet."""
