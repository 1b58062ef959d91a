"""Decisions on routed HTTP requests: pure state machines without input, output or a clock."""
