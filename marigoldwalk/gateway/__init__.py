"""The gateway daemon: HTTP to callers and backend servers, gossip, settings and start-up."""
