"""Example bundles, settings and sites, and an end-to-end demonstration."""
