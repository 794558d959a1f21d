"""Measurements, seeded and bounded; each prints its seeds."""
