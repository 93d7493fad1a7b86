"""Sends requests to the target over HTTP/1.1."""

from anvilthread.target.http_edge import HttpEdge

__all__ = ('HttpEdge',)
