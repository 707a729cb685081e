"""Hooks of the test runner."""
