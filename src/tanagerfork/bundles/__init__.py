"""Versioned and signed bundles."""
