"""At-most-once execution of requests by claims on their Idempotency-Keys."""
