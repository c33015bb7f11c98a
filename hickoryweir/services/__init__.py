"""Client for plain HTTP services, which are not inference engines."""
