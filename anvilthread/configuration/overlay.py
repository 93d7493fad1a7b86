"""Rules for overlays and their combination with the base."""

from typing import Any, Final

from anvilthread.file_fault import FileFault

#: Keys of a service that have to be the same at every site: connection IDs
#: carry the number, and every site has to know where a service is carried.
_SHARED_KEYS: Final = ('number', 'sites')


def merge(base: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    """Returns the base with the values of the overlay in their places."""
    merged = dict(base)
    for key, value in overlay.items():
        below = merged.get(key)
        if isinstance(below, dict) and isinstance(value, dict):
            merged[key] = merge(below, value)
        else:
            merged[key] = value
    return merged


def check_overlay(
    file: str, overlay: dict[str, Any], base: dict[str, Any]
) -> tuple[FileFault, ...]:
    """Finds what an overlay must not change.

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
            problems.extend(_shared(file, name, service))
        else:
            problems.append(_added(file, name))
    return tuple(problems)


def _added(file: str, name: str) -> FileFault:
    return FileFault(
        file=file,
        key=f'services.{name}',
        reason='the service is not in base.toml',
        remedy='correct the name or define the service in base.toml',
    )


def _shared(file: str, name: str, service: dict[str, Any]) -> list[FileFault]:
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
