"""The text form of one log event."""

import json
import re
from collections.abc import Mapping
from datetime import UTC, datetime
from functools import lru_cache
from typing import Final

_MAX_VALUE_CHARACTERS: Final = 1000
_MS_PER_SECOND: Final = 1000
_UNQUOTED: Final = re.compile(r'[!#-<>-\[\]-~]+')


def log_line(
    *, wall_ms: int, level: str, name: str, fields: Mapping[str, object]
) -> str:
    """Formats an event as one line of key=value pairs.

    Values are printable ASCII; one that is empty or holds a space, a quote,
    a backslash, an equals sign or any other character is a JSON string.

    Args:
        wall_ms: Time since the Unix epoch.
        level: ``info`` or ``warning``.
        name: Name of the event.
        fields: Further pairs, in order.

    Returns:
        The line without a newline.
    """
    pairs = {
        'time': _timestamp(wall_ms),
        'level': level,
        'event': name,
        **fields,
    }
    return ' '.join(f'{key}={_quote(field)}' for key, field in pairs.items())


def _timestamp(wall_ms: int) -> str:
    seconds, milliseconds = divmod(wall_ms, _MS_PER_SECOND)
    return f'{_format_second(seconds)}.{milliseconds:03d}Z'


# Formatting the time takes longer than the rest of a line, so lines of the
# same second share the result.
@lru_cache(maxsize=2)
def _format_second(seconds: int) -> str:
    moment = datetime.fromtimestamp(seconds, UTC)
    return f'{moment:%Y-%m-%dT%H:%M:%S}'


def _quote(field: object) -> str:
    text = _text(field)
    if len(text) > _MAX_VALUE_CHARACTERS:
        text = f'{text[:_MAX_VALUE_CHARACTERS]}...'
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)


def _text(field: object) -> str:
    if isinstance(field, bool):
        return 'true' if field else 'false'
    if isinstance(field, bytes):
        return field.hex()
    return str(field)
