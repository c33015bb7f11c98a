"""The platform's list of VMs as a peer."""
