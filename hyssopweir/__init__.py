"""Schedule latency-critical requests and batch work on shared machines."""

__version__ = "0.1.0"
