"""The processes that balance flows: sockets, tasks and their wiring.

Modules import only what a running process needs, since all processes of a
cluster may have to start at once on fractions of a core.
"""
