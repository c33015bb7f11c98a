"""Process settings and the shared configuration."""
