"""The platform's services as the daemon sees them."""
