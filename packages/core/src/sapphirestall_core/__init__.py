"""Decisions of the scheduler, without input or output."""
