"""The I/O layer of a daemon: executes the actions of the core and reports events to it."""
