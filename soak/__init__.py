"""Soak run of real processes with faults that are injected from outside."""
