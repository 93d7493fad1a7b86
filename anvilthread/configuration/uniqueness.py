"""Rules that concern several services at once."""

from typing import Any

from anvilthread.configuration.configuration import Configuration
from anvilthread.file_fault import FileFault


def check_services(file: str, checked: Configuration) -> tuple[FileFault, ...]:
    """Finds shared numbers and addresses, and unknown sites.

    Args:
        file: Name of the file that the errors are reported for.
        checked: A configuration that follows the schema.

    Returns:
        The errors.
    """
    problems: list[FileFault] = []
    owners: dict[Any, str] = {}
    for name, service in checked.services.items():
        key = f'services.{name}'
        number = owners.setdefault(service.number, name)
        if number != name:
            problems.append(
                _taken(file, f'{key}.number', service.number, number)
            )
        for address in service.addresses:
            owner = owners.setdefault(address, name)
            if owner != name:
                problems.append(
                    _taken(file, f'{key}.addresses', address, owner)
                )
        for site in service.sites:
            if site not in checked.sites:
                problems.append(_unknown_site(file, f'{key}.sites', site))
    return tuple(problems)


def _taken(file: str, key: str, value: object, owner: str) -> FileFault:
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
