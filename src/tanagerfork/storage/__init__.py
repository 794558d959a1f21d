"""The key-value service and the VM list, as the daemon sees them."""
