"""Field types that several parts of the schema share.

The description of a type is the remedy in error messages about its fields.
"""

from typing import Annotated

from msgspec import Meta

from anvilthread.address import Address

Name = Annotated[
    str,
    Meta(
        pattern='^[a-z][a-z0-9-]{0,62}$',
        description='use lower-case letters, digits and hyphens, 63 at most',
    ),
]

Addresses = Annotated[
    tuple[Address, ...],
    Meta(
        min_length=1,
        description='give a list of addresses such as ["192.0.2.1:443"]',
    ),
]

PositiveCount = Annotated[
    int, Meta(ge=1, description='use a whole number of at least 1')
]

PositiveMs = Annotated[
    int,
    Meta(ge=1, description='use a whole number of milliseconds, at least 1'),
]

Share = Annotated[
    float,
    Meta(gt=0, le=1, description='use a number above 0, at most 1'),
]

Percentage = Annotated[
    int, Meta(ge=0, le=100, description='use a whole number from 0 to 100')
]
