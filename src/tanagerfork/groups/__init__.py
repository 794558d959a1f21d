"""Groups of VMs: layout, presence and coordination."""
