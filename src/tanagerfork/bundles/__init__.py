"""Versioned, signed-off bundles."""
