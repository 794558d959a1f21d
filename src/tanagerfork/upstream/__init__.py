"""Clients of the model engines and of plain services."""
