"""Benchmark programs; most run in virtual time."""
