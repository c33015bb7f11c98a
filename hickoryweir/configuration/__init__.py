"""Settings and configuration."""
