"""The I/O layer of a daemon: performs the actions of the core and reports events to it."""
