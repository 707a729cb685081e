"""Entry daemon: adapters around the core."""
