"""Runs the real processes under faults and checks the system's guarantees."""
