"""Layer-4 load balancer and its embeddable coordination components."""

__version__ = '0.1.0'
