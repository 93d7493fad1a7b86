"""Status of the targets that a node knows."""

import msgspec

from anvilthread.daemon.node import Node
from anvilthread.membership import Member, Role
from anvilthread.operation import TargetStatus
from anvilthread.routing.load_table import LoadTable


def target_list(node: Node, loads: LoadTable) -> list[TargetStatus]:
    """Returns the status of the target of every known agent.

    Args:
        node: The node that answers.
        loads: Load reports that the node has received.
    """
    agents = [
        member for member in node.membership.table if member.role is Role.AGENT
    ]
    agents.sort(key=lambda member: member.control_address)
    return [_target_status(node, member, loads) for member in agents]


def _target_status(
    node: Node, member: Member, loads: LoadTable
) -> TargetStatus:
    status = TargetStatus(
        control=str(member.control_address),
        request=str(member.request_address),
        site=member.site,
        services=tuple(node.view.name_of(number) for number in member.services),
        state=member.state.name.lower(),
        slots=member.slots,
    )
    load = loads.load(member.data_address)
    if load.report is None:
        return status
    return msgspec.structs.replace(
        status,
        connections=load.report.connections,
        busy=load.report.busy,
        waiting=load.report.waiting,
        report_age_ms=node.clock.now_ms() - load.reported_ms,
    )
