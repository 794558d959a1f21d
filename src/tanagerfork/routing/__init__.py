"""Decisions on which group runs a request, and when."""
