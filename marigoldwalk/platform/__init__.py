"""The adapter to the users' platform: its names, formats and calls, decoded once."""
