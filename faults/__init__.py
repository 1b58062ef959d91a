"""Fault-injection scenarios that run real processes under load and check every answer."""
