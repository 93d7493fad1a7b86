"""Validation rules across services."""

from typing import Any

from anvilthread.configuration.configuration import Configuration
from anvilthread.file_fault import FileFault


def check_services(
    file: str, configuration: Configuration
) -> tuple[FileFault, ...]:
    """Finds duplicate numbers and addresses, and unknown sites.

    Args:
        file: Name of the file that the errors are reported for.
        configuration: A configuration that conforms to the schema.

    Returns:
        The errors.
    """
    problems: list[FileFault] = []
    owners: dict[Any, str] = {}
    for name, service in configuration.services.items():
        key = f'services.{name}'
        number_owner = owners.setdefault(service.number, name)
        if number_owner != name:
            problems.append(
                _duplicate(file, f'{key}.number', service.number, number_owner)
            )
        for address in service.addresses:
            address_owner = owners.setdefault(address, name)
            if address_owner != name:
                problems.append(
                    _duplicate(file, f'{key}.addresses', address, address_owner)
                )
        for site in service.sites:
            if site not in configuration.sites:
                problems.append(_unknown_site(file, f'{key}.sites', site))
    return tuple(problems)


def _duplicate(file: str, key: str, value: object, owner: str) -> FileFault:
    return FileFault(
        file=file,
        key=key,
        reason=f'{value} belongs to services.{owner}',
        remedy='give each service values of its own',
    )


def _unknown_site(file: str, key: str, site: str) -> FileFault:
    return FileFault(
        file=file,
        key=key,
        reason=f'there is no site {site}',
        remedy=f'correct the name or add [sites.{site}] to base.toml',
    )
