"""Errors of decoders, for content that other programs have written."""

from typing import Final

#: What a decoder raises for content that it cannot decode; the errors of msgspec
#: and of texts are ``ValueError``. Deep nesting exhausts the stack, also in a
#: field that is skipped.
DECODE_ERRORS: Final = (ValueError, RecursionError)
