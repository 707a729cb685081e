"""Entry daemon: the core with its adapters for sockets, files and timers."""
