"""Every target that a node knows."""

from collections.abc import Callable

from anvilthread.address import Address
from anvilthread.daemon.node import Node
from anvilthread.membership import Member, Role
from anvilthread.operation import TargetStatus
from anvilthread.routing.load_report import LoadReport

ReportOf = Callable[[Address], tuple[LoadReport, int] | None]


def target_list(node: Node, report_of: ReportOf) -> list[TargetStatus]:
    """Describes every agent in the node's view.

    Args:
        node: The node that answers.
        report_of: Returns the last load report of a data address and its age
            in milliseconds.
    """
    agents = [
        member for member in node.membership.table if member.role is Role.AGENT
    ]
    agents.sort(key=lambda member: member.control_address)
    return [_describe(node, member, report_of) for member in agents]


def _describe(node: Node, member: Member, report_of: ReportOf) -> TargetStatus:
    status = TargetStatus(
        control=str(member.control_address),
        request=str(member.request_address),
        site=member.site,
        services=tuple(node.view.name_of(known) for known in member.services),
        state=member.state.name.lower(),
        slots=member.slots,
    )
    found = report_of(member.data_address)
    if found is None:
        return status
    report, age_ms = found
    return TargetStatus(
        control=status.control,
        request=status.request,
        site=status.site,
        services=status.services,
        state=status.state,
        slots=status.slots,
        connections=report.connections,
        busy=report.busy,
        waiting=report.waiting,
        report_age_ms=age_ms,
    )
