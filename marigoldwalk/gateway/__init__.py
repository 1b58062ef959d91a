"""The shells around routing: HTTP towards callers and backend servers, settings, the daemon."""
