"""Rules for overlays, and how they are merged with the base."""

from typing import Any, Final

from anvilthread.file_fault import FileFault

#: Keys of a service that have to be the same at every site: connection IDs
#: contain the number, and every site has to know which sites carry a service.
_SHARED_KEYS: Final = ('number', 'sites')


def merge(base: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    """Returns the base with the values of the overlay merged into it."""
    merged = dict(base)
    for key, value in overlay.items():
        base_value = merged.get(key)
        if isinstance(base_value, dict) and isinstance(value, dict):
            merged[key] = merge(base_value, value)
        else:
            merged[key] = value
    return merged


def check_overlay(
    file: str, overlay: dict[str, Any], base: dict[str, Any]
) -> tuple[FileFault, ...]:
    """Finds keys that an overlay must not set.

    Args:
        file: Name of the file.
        overlay: Its content, which follows the schema.
        base: Content of the base.

    Returns:
        The errors.
    """
    problems: list[FileFault] = []
    if 'sites' in overlay:
        problems.append(
            FileFault(
                file=file,
                key='sites',
                reason='an overlay cannot define sites',
                remedy='define them in base.toml',
            )
        )
    for name, service in overlay.get('services', {}).items():
        if name in base.get('services', {}):
            problems.extend(_shared_key_faults(file, name, service))
        else:
            problems.append(_unknown_service_fault(file, name))
    return tuple(problems)


def _unknown_service_fault(file: str, name: str) -> FileFault:
    return FileFault(
        file=file,
        key=f'services.{name}',
        reason='the service is not in base.toml',
        remedy='correct the name or define the service in base.toml',
    )


def _shared_key_faults(
    file: str, name: str, service: dict[str, Any]
) -> list[FileFault]:
    return [
        FileFault(
            file=file,
            key=f'services.{name}.{key}',
            reason='the key has to be the same at every site',
            remedy='remove it here and set it in base.toml',
        )
        for key in _SHARED_KEYS
        if key in service
    ]
