"""Reads the operators' configuration."""

import tomllib
from functools import lru_cache
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from anvilthread.configuration.configuration import Configuration
from anvilthread.configuration.invalid_configuration import (
    InvalidConfigurationError,
)
from anvilthread.configuration.overlay import check_overlay, merge
from anvilthread.configuration.table_checker import (
    TableChecker,
    decode_address,
)
from anvilthread.configuration.texts import BASE_FILE, ConfigurationTexts
from anvilthread.configuration.uniqueness import check_services
from anvilthread.file_fault import FileFault

#: Parsed files in the cache: the base and the overlays of one or two changes.
#: Most changes leave most files as they are, and parsing the base takes the
#: largest part of the time of a change.
_MAX_CACHED_FILES: Final = 32

Tables = dict[str, Any]


def load_configurations(
    texts: ConfigurationTexts,
) -> Result[dict[str, Configuration], InvalidConfigurationError]:
    """Reads the base and every overlay.

    Args:
        texts: The files.

    Returns:
        The configuration of every site by name, or all errors.
    """
    base, problems = _read_file(BASE_FILE, texts.base, partial=False)
    found = list(problems)
    loaded: dict[str, Configuration] = {}
    sites = () if problems else tuple(base['sites'])
    for site in sorted({*sites, *texts.overlays}):
        outcome = _load_site(texts, base, problems, site)
        if isinstance(outcome, Ok):
            loaded[site] = outcome.ok_value
        else:
            found.extend(outcome.err_value)
    if found:
        return Err(InvalidConfigurationError(problems=_distinct(found)))
    return Ok(loaded)


def load_site(
    texts: ConfigurationTexts, site: str
) -> Result[Configuration, InvalidConfigurationError]:
    """Reads the base and the overlay of one site."""
    base, problems = _read_file(BASE_FILE, texts.base, partial=False)
    return _load_site(texts, base, problems, site).map_err(
        lambda found: InvalidConfigurationError(
            problems=_distinct([*problems, *found])
        )
    )


def _load_site(
    texts: ConfigurationTexts,
    base: Tables,
    base_problems: tuple[FileFault, ...],
    site: str,
) -> Result[Configuration, tuple[FileFault, ...]]:
    file = f'{site}.toml'
    text = texts.overlays.get(site, '')
    overlay, problems = _read_file(file, text, partial=True)
    if problems or base_problems:
        return Err(problems)
    problems = check_overlay(file, overlay, base)
    if site not in base['sites']:
        problems = (*problems, _unknown_overlay(file, site))
    if problems:
        return Err(problems)
    problems = check_services(BASE_FILE, _convert(base))
    merged = _convert(merge(base, overlay))
    if overlay and not problems:
        problems = check_services(file, merged)
    return Err(problems) if problems else Ok(merged)


def _convert(tables: Tables) -> Configuration:
    return msgspec.convert(tables, Configuration, dec_hook=decode_address)


@lru_cache(maxsize=_MAX_CACHED_FILES)
def _read_file(
    file: str, text: str, *, partial: bool
) -> tuple[Tables, tuple[FileFault, ...]]:
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return {}, (_syntax_error(file, str(error)),)
    checker = TableChecker(file=file, partial=partial)
    checker.check(tables, Configuration)
    return tables, checker.problems


def _distinct(problems: list[FileFault]) -> tuple[FileFault, ...]:
    """Drops the errors of the base that several sites repeat."""
    return tuple({str(problem): problem for problem in problems}.values())


def _syntax_error(file: str, reason: str) -> FileFault:
    return FileFault(
        file=file,
        key='',
        reason=f'the file is not TOML: {reason}',
        remedy='correct the line that the error names',
    )


def _unknown_overlay(file: str, site: str) -> FileFault:
    return FileFault(
        file=file,
        key='',
        reason=f'there is no site {site}',
        remedy=f'rename the file or add [sites.{site}] to base.toml',
    )
