"""Listeners for callers and operators."""
