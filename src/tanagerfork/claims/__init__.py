"""At-most-once claims on Idempotency-Keys."""
