"""Stand-ins: simulated backend servers and platform for the demo, benchmarks and tests."""
