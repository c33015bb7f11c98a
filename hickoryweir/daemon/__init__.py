"""The daemon that joins the packages."""
