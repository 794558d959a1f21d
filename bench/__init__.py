"""Benchmarks with fixed seeds and bounded running time; each prints its seeds."""
