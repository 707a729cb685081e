"""Batch core: runs jobs on workers, each under one fenced owner at a time."""
