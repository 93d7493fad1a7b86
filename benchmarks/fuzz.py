"""Feeds random and mutated datagrams to every decoder of the routing package.

Run it with ``python -m benchmarks.fuzz COUNT SEED``. An exception of a decoder
ends the run; the line printed before it shows the input.
"""

import sys
from collections.abc import Callable
from random import Random
from typing import Final

from anvilthread.address import Address
from anvilthread.routing.connection_id import ConnectionId
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_report_codec import LoadReportCodec
from anvilthread.routing.quic_header import (
    destination_id,
    has_long_header,
    is_initial,
)

DEFAULT_COUNT: Final = 20_000
DEFAULT_SEED: Final = 1

_AGENT: Final = Address(host='192.0.2.1', port=4433)
_ID_CODEC: Final = ConnectionIdCodec(
    keys={0: bytes(16), 3: b'3' * 16}, active=0
)
_ENCAPSULATION_CODEC: Final = EncapsulationCodec(keys=(bytes(range(32)),))
_REPORT_CODEC: Final = LoadReportCodec()
_CONNECTION_ID: Final = _ID_CODEC.encode(
    ConnectionId(service=1, agent=_AGENT, incarnation=1, counter=1)
)
_REPORT: Final = _REPORT_CODEC.encode(
    LoadReport(
        service=1, agent=_AGENT, incarnation=1, sequence=1, connections=9
    )
)
_SAMPLES: Final = (
    _CONNECTION_ID,
    _REPORT,
    b''.join((b'\x40', _CONNECTION_ID, bytes(40))),
    b''.join((b'\xc0\0\0\0\1\x11', _CONNECTION_ID, bytes(1200))),
    b''.join((b'\xd0\x6b\x33\x43\xcf\x08', bytes(1200))),
)


def run(count: int = DEFAULT_COUNT, seed: int = DEFAULT_SEED) -> None:
    """Runs all decoders on the given number of datagrams.

    Args:
        count: Number of datagrams.
        seed: Seed of the datagrams.
    """
    random = Random(seed)
    accepted = dict.fromkeys(_DECODERS, 0)
    for _ in range(count):
        datagram = _datagram(random)
        for name, decode in _DECODERS.items():
            try:
                accepted[name] += bool(decode(datagram))
            except Exception:
                print(f'decoder={name} seed={seed} input={datagram.hex()}')
                raise
    for name, number in accepted.items():
        print(f'decoder={name} datagrams={count} accepted={number}')


def _reset_token(datagram: bytes) -> bytes | None:
    """Computes the reset token as a balancer does, if the ID decrypts."""
    if _ID_CODEC.decrypt(datagram) is None:
        return None
    return _ID_CODEC.reset_token(datagram)


def _encapsulated_content(datagram: bytes) -> Encapsulated | None:
    """Decodes a header with a valid tag and arbitrary fields."""
    fields = datagram.ljust(13, b'\0')
    wire = _ENCAPSULATION_CODEC.encode_raw(
        kind=fields[0],
        service=int.from_bytes(fields[1:3], 'big'),
        service_address=fields[3:9],
        client=fields[3:9],
        balancer=fields[3:9],
        payload=datagram,
        alternate=fields[7:13],
        hops=fields[9],
    )
    decoded = _ENCAPSULATION_CODEC.decode(wire)
    if decoded is not None and decoded.kind is DatagramKind.REPORT:
        _REPORT_CODEC.decode(decoded.payload)
    return decoded


_Decoder = Callable[[bytes], object]

_DECODERS: Final[dict[str, _Decoder]] = {
    'connection-id': _ID_CODEC.decode,
    'reset-token': _reset_token,
    'encapsulated': _ENCAPSULATION_CODEC.decode,
    'encapsulated-content': _encapsulated_content,
    'load-report': _REPORT_CODEC.decode,
    'destination-id': destination_id,
    'has-long-header': has_long_header,
    'is-initial': is_initial,
}


def _datagram(random: Random) -> bytes:
    """Returns random bytes or a mutated sample."""
    if random.random() < 0.3:
        return random.randbytes(random.choice((0, 1, 17, 18, 37, 45, 1300)))
    sample = bytearray(random.choice(_SAMPLES))
    for _ in range(random.randrange(4)):
        sample[random.randrange(len(sample))] = random.randrange(256)
    if random.random() < 0.3:
        del sample[random.randrange(len(sample)) :]
    return bytes(sample)


def _main() -> None:
    arguments = [int(text) for text in sys.argv[1:]]
    run(*arguments)


if __name__ == '__main__':
    _main()
