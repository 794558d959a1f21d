"""Model engines and plain services."""
