"""Tests of process settings and the shared configuration."""
