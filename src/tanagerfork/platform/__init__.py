"""Adapter of the users' platform: decodes its names into the types of the product."""
