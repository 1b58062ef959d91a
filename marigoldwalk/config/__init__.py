"""Published configuration and a daemon's own settings."""
