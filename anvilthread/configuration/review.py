"""Finds entries of a valid configuration that cannot have an effect."""

import tomllib
from collections.abc import Iterator
from fnmatch import fnmatchcase
from typing import Any, Final

from anvilthread.configuration.configuration import Configuration
from anvilthread.configuration.loader import load_configurations, load_site
from anvilthread.configuration.service import Service
from anvilthread.configuration.texts import BASE_FILE, ConfigurationTexts
from anvilthread.file_fault import FileFault

#: Wildcards other than ``*``. Whether a pattern with them covers another
#: pattern cannot be decided by matching the texts.
_OTHER_WILDCARDS: Final = frozenset('?[')

_EVERY_REQUEST: Final = '* /*'


def review_texts(texts: ConfigurationTexts) -> tuple[FileFault, ...]:
    """Finds entries that can never match, and limits that contradict.

    Args:
        texts: Valid files; of invalid ones nothing is found.

    Returns:
        One finding per entry, in the order of the files.
    """
    loaded = load_configurations(texts).unwrap_or({})
    if not loaded:
        return ()
    findings = list(_review_base(texts, next(iter(loaded))))
    known = {(finding.key, finding.reason) for finding in findings}
    stated = _services(texts.base)
    for site, text in sorted(texts.overlays.items()):
        findings.extend(
            finding
            for finding in _review_overlay(
                site, loaded[site], _services(text), stated
            )
            if (finding.key, finding.reason) not in known
        )
    return tuple(findings)


def _services(text: str) -> dict[str, Any]:
    services: dict[str, Any] = tomllib.loads(text).get('services', {})
    return services


def _review_base(texts: ConfigurationTexts, site: str) -> Iterator[FileFault]:
    base_only = ConfigurationTexts(base=texts.base, overlays={})
    base = load_site(base_only, site).unwrap()
    yield from _review_sites(base)
    stated = _services(texts.base)
    for name, service in base.services.items():
        yield from _review_service(BASE_FILE, name, service, stated[name])


def _review_sites(base: Configuration) -> Iterator[FileFault]:
    for site in base.sites:
        if not base.carried_at(site):
            yield FileFault(
                file=BASE_FILE,
                key=f'sites.{site}',
                reason='no service is carried at the site',
                remedy='add it to the sites of a service, or remove it',
            )


def _review_overlay(
    site: str,
    configuration: Configuration,
    overlay: dict[str, Any],
    base: dict[str, Any],
) -> Iterator[FileFault]:
    file = f'{site}.toml'
    carried = configuration.carried_at(site)
    for name in overlay:
        if name not in carried:
            yield FileFault(
                file=file,
                key=f'services.{name}',
                reason=f'{site} does not carry the service',
                remedy=f'remove it, or add {site} to its sites in base.toml',
            )
    for name, service in carried.items():
        if name in overlay:
            stated = {**base[name], **overlay[name]}
            yield from _review_service(file, name, service, stated)


def _review_service(
    file: str, name: str, service: Service, stated: dict[str, Any]
) -> Iterator[FileFault]:
    """Finds entries of one service without effect.

    Args:
        file: File that the findings are reported for.
        name: Name of the service.
        service: The service, with defaults.
        stated: The keys that the files state.
    """
    key = f'services.{name}'
    addresses = f'{key}.addresses'
    for address in _repeated(service.addresses):
        yield FileFault(
            file=file,
            key=addresses,
            reason=f'{address} is listed twice',
            remedy='remove one of the two',
        )
    for list_name, patterns in (
        ('non_idempotent', service.non_idempotent),
        ('stream_paths', service.stream_paths),
    ):
        yield from _review_patterns(file, f'{key}.{list_name}', patterns)
    yield from _review_limits(
        file, key, service, is_retry_stated='retry_percent' in stated
    )


def _review_patterns(
    file: str, key: str, patterns: tuple[str, ...]
) -> Iterator[FileFault]:
    for number, pattern in enumerate(patterns):
        if '#' in pattern:
            yield FileFault(
                file=file,
                key=key,
                reason=f'"{pattern}" can never match: requests have no fragment',
                remedy='remove the part from # on',
            )
        others = (*patterns[:number], *patterns[number + 1 :])
        wider = _find_wider(pattern, others, patterns[:number])
        if wider:
            yield FileFault(
                file=file,
                key=key,
                reason=f'"{pattern}" has no effect beside "{wider}"',
                remedy='remove it, or narrow the other pattern',
            )


def _find_wider(
    pattern: str, others: tuple[str, ...], earlier: tuple[str, ...]
) -> str:
    """Returns a pattern that matches all that another one matches.

    Of two equal patterns the later one has no effect.
    """
    if pattern in earlier:
        return pattern
    for other in others:
        if other == pattern or _OTHER_WILDCARDS.intersection(other):
            continue
        if fnmatchcase(pattern, other):
            return other
    return ''


def _review_limits(
    file: str, key: str, service: Service, *, is_retry_stated: bool
) -> Iterator[FileFault]:
    latency_ms = service.objectives.latency_ms
    if latency_ms > service.deadline_ms:
        yield FileFault(
            file=file,
            key=f'{key}.objectives.latency_ms',
            reason=(
                f'{latency_ms} ms is above deadline_ms, '
                f'{service.deadline_ms} ms, so no answer is late'
            ),
            remedy=f'set it to {service.deadline_ms} at most, or raise the '
            'deadline',
        )
    if not is_retry_stated:
        return
    if service.retry_percent and _EVERY_REQUEST in service.non_idempotent:
        yield FileFault(
            file=file,
            key=f'{key}.retry_percent',
            reason=f'{service.retry_percent} percent may be retried, but '
            f'"{_EVERY_REQUEST}" in non_idempotent forbids every retry',
            remedy='set it to 0, or narrow the pattern',
        )


def _repeated(entries: tuple[Any, ...]) -> list[Any]:
    """Returns the entries that occur more than once, each once."""
    return [
        entry
        for number, entry in enumerate(entries)
        if entry in entries[:number] and entry not in entries[number + 1 :]
    ]
