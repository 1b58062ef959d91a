"""Adapter for the users' platform: its HTTP headers, its store and its record formats."""
