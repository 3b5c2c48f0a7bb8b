"""Adapter for the users' platform: its names, formats and calls; it decides nothing."""
