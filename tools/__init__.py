"""Programs for developers."""
