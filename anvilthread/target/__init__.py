"""The edge towards the target."""

from anvilthread.target.http_edge import HttpEdge

__all__ = ('HttpEdge',)
