"""Client of the weight store and its rate limit."""
