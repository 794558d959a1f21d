"""Adapter of the platform: converts its stored values, messages and headers for the relay."""
