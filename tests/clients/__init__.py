"""Clients that stay outside the limits."""
