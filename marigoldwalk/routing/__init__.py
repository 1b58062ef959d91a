"""Routing of HTTP requests: pure state machines that do no I/O and read no clock."""
