"""Maintenance programs of the project."""
