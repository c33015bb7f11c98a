"""Discovery of VMs and backend servers through the platform's lists."""
