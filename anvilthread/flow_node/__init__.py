"""Flow balancer and flow agent processes: sockets, tasks and their wiring.

Modules import only what a running process needs, since all processes of a
cluster may have to start at once, each on a fraction of a core.
"""
