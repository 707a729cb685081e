"""Batch core: runs jobs on workers, which one fenced owner at a time manages."""
