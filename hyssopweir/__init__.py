"""Schedule latency-critical requests and batch work on shared workers."""

__version__ = "0.1.0"
