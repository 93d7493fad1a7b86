"""Stand-ins for the scripts of the second review, without dependencies.

One asyncio process plays the platform's store, the routers, the clients and
the targets as the users' pages describe them. The programs under test are
separate processes, started with the command of ``deploy/system.toml``.

Each machine is one loopback address, so all of them use the same ports.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent

HEADER = struct.Struct('>B5sIHIII4s4sHH')
SYN, ACK, FIN, RST, BOUNCED = 16, 1, 32, 2, 8

#: A reset counts at a client only with a number this close to its last ack.
RESET_WINDOW = 76_800

RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
OPENING_COPIES_S = (0.0, 0.2, 0.6)
OPENING_LIMIT_S = 1.4
_REQUEST_ID = re.compile(rb'X-Request-Id: ([^\r]+)')


def checksum(flags, size, seq, ack, dst, src, dport, sport, body):
    covered = struct.pack(
        '>BHII4s4sHH', flags & ~BOUNCED, size, seq, ack, dst, src, dport, sport
    )
    return zlib.crc32(covered + body, 0x5EED) & 0xFFFFFFFF


def encode(flags, seq, ack, src, dst, body=b''):
    source, target = socket.inet_aton(src[0]), socket.inet_aton(dst[0])
    total = checksum(
        flags, len(body), seq, ack, target, source, dst[1], src[1], body
    )
    return (
        HEADER.pack(
            flags, bytes(5), 0, len(body), seq, ack, total,
            target, source, dst[1], src[1],
        )
        + body
    )


class Packet:
    def __init__(self, content):
        (
            self.flags, _pad, self.echo, size, self.seq, self.ack,
            self.sum, dst, src, dport, sport,
        ) = HEADER.unpack_from(content)
        self.content = content
        self.body = content[HEADER.size:]
        self.src = (socket.inet_ntoa(src), sport)
        self.dst = (socket.inet_ntoa(dst), dport)
        self.is_intact = size == len(self.body) and self.sum == checksum(
            self.flags, size, self.seq, self.ack, dst, src, dport, sport,
            self.body,
        )


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handle):
        self.handle = handle
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, content, address):
        self.handle(content)

    def error_received(self, error):
        pass  # an ICMP refusal while a process is down


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start = time.monotonic()

    def __call__(self, event, **fields):
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        line = f'{time.monotonic() - self.start:9.3f} {event} {text}'.rstrip()
        self.file.write(line + '\n')
        self.file.flush()


async def read_http(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    headers = {
        name.strip().lower(): text.strip()
        for name, _, text in (line.partition(':') for line in lines[1:])
    }
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return lines[0], headers, body


async def call_http(host, port, method, path, body=None, timeout=1.0):
    """Returns the status of an answer; 0 if there was none in time."""
    content = b'' if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(
                    f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(content)}\r\n'
                    'Connection: close\r\n\r\n'.encode() + content
                )
                line, _, _ = await read_http(reader)
                return int(line.split()[1])
            finally:
                writer.close()
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return 0


class Store:
    """The platform's metadata store, in its sound state."""

    def __init__(self, record):
        self.items = {}
        self.revision = 10
        self.record = record
        self.port = 0
        self.server = None

    async def start(self, host):
        self.server = await asyncio.start_server(self._serve, host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def write(self, key, value):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created)

    async def _serve(self, reader, writer):
        try:
            line, _, body = await read_http(reader)
            await asyncio.sleep(0.004)
            method, target, _ = line.split()
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            status, answer = self._answer(method, parts.path, query, body)
            content = json.dumps(answer).encode()
            writer.write(
                f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
                f'Store-Era: 1\r\nContent-Length: {len(content)}\r\n'
                'Connection: close\r\n\r\n'.encode() + content
            )
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _answer(self, method, path, query, body):
        if (method, path) == ('GET', '/kv-key'):
            if query['key'] not in self.items:
                return 404, {'at': self.revision}
            return 200, {**self._item(query['key']), 'at': self.revision}
        if (method, path) == ('GET', '/kv-range'):
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix']) and key > query.get('after', '')
            )
            items = [self._item(key) for key in keys[:500]]
            return 200, {
                'items': items, 'has_more': len(keys) > 500, 'at': self.revision
            }
        if (method, path) == ('POST', '/kv-txn'):
            txn = json.loads(body)
            for row in txn['expect']:
                known = self.items.get(row['key'])
                if (known[1] if known else 0) != row['revision']:
                    return 412, {'items': []}
            for row in txn['set_keys']:
                if row['key'].startswith(('op/', 'servers/')):
                    return 403, {}
                self.write(row['key'], base64.b64decode(row['value']))
            for key in txn['remove']:
                self.items.pop(key, None)
            return 200, {'revision': self.revision}
        return 404, {}

    def _item(self, key):
        value, revision, created = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': revision,
            'created_at': created,
            'lease_id': 0,
        }


class TargetFlow:
    def __init__(self, start, expected):
        self.start = start
        self.next_seq = (start + 1) & 0xFFFFFFFF
        self.expected = expected
        self.is_open = False
        self.is_ended = False
        self.unacked = []


class Target:
    """A backend: flows over UDP, heartbeats, and a health port."""

    def __init__(self, world, host, service, name, work_s=0.015):
        self.world = world
        self.host = host
        self.service = service
        self.name = name
        self.work_s = work_s
        self.flows = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.drained_at = None
        self.is_draining = False
        self.bounced = 0

    async def start(self):
        loop = asyncio.get_running_loop()
        ports = self.world.ports
        _, self.udp = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive), local_addr=(self.host, ports['app'])
        )
        self.health = await asyncio.start_server(
            self._serve_health, self.host, ports['app']
        )
        self.beats = asyncio.create_task(self._beat_forever())

    async def _serve_health(self, reader, writer):
        try:
            await read_http(reader)
            status = '503 -' if self.is_draining else '200 OK'
            writer.write(
                f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _beat_forever(self):
        while True:
            is_acknowledged = await self.beat()
            await asyncio.sleep(
                self.world.heartbeat_s if is_acknowledged else 0.1
            )

    async def beat(self):
        self.sequence += 1
        state = 'draining' if self.is_draining else 'ready'
        status = await call_http(
            self.host, self.world.ports['control'], 'PUT',
            f'/instances/{self.name}',
            {
                'service': self.service,
                'address': f'{self.host}:{self.world.ports["app"]}',
                'zone': self.world.zone_of(self.host),
                'version': 'v1',
                'capacity': 2,
                'state': state,
                'warmup_remaining_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )
        return 200 <= status < 300

    def holds(self, client):
        flow = self.flows.get(client)
        return flow is not None and flow.is_open and not flow.is_ended

    def send(self, content):
        self.udp.transport.sendto(
            content, (self.host, self.world.ports['outbound'])
        )

    def receive(self, content):
        packet = Packet(content)
        if not packet.is_intact:
            self.world.violate('UNASKED', f'{self.name} got an altered packet')
            return
        flow = self.flows.get(packet.src)
        if packet.flags & SYN:
            self._open(packet, flow)
            return
        if flow is None or not self._is_open(flow, packet):
            self.bounced += 1
            self.world.on_stray_packet(self, packet)
            # BOUNCED set, echo unchanged, pad 0.
            self.send(
                bytes((content[0] | BOUNCED,)) + bytes(5) + content[6:]
            )
            return
        self.world.on_own_packet(self, packet)
        if packet.flags & RST:
            self.flows.pop(packet.src)
            return
        self._acknowledge(flow, packet)
        if packet.body and packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.body)) & 0xFFFFFFFF
            asyncio.create_task(self._run(packet, flow))
        elif packet.body:
            self._reply(packet, flow, ACK)
        if packet.flags & FIN:
            flow.expected = (packet.seq + len(packet.body) + 1) & 0xFFFFFFFF
            flow.is_ended = True
            self._reply(packet, flow, FIN | ACK)

    def _open(self, packet, flow):
        if flow is None:
            flow = TargetFlow(
                random.getrandbits(32), (packet.seq + 1) & 0xFFFFFFFF
            )
            self.flows[packet.src] = flow
        self.send(
            encode(
                SYN | ACK, flow.start, (packet.seq + 1) & 0xFFFFFFFF,
                packet.dst, packet.src,
            )
        )

    def _is_open(self, flow, packet):
        if not flow.is_open and packet.ack == flow.next_seq:
            flow.is_open = True
        return flow.is_open

    def _acknowledge(self, flow, packet):
        flow.unacked = [
            (end, content)
            for end, content in flow.unacked
            if (packet.ack - end) & 0x80000000
        ]

    def _reply(self, packet, flow, flags):
        self.send(
            encode(flags, flow.next_seq, flow.expected, packet.dst, packet.src)
        )

    async def _run(self, packet, flow):
        found = _REQUEST_ID.search(packet.body)
        request = found.group(1).decode() if found else ''
        self.world.on_run(self, request)
        await asyncio.sleep(self.work_s)
        text = f'{self.service}:{request}'
        body = (
            f'HTTP/1.1 200 OK\r\nX-Server-Signature: {self.name}\r\n'
            f'Content-Length: {len(text)}\r\n\r\n{text}'
        ).encode()
        content = encode(
            ACK, flow.next_seq, flow.expected, packet.dst, packet.src, body
        )
        flow.next_seq = (flow.next_seq + len(body)) & 0xFFFFFFFF
        flow.unacked.append((flow.next_seq, content))
        for pause in (0.0, *RETRANSMIT_S):
            await asyncio.sleep(pause)
            if (flow.next_seq, content) not in flow.unacked and pause:
                return
            self.send(content)


class Router:
    """Routers of the platform: a steady hash over the nodes in rotation."""

    def __init__(self, world, hosts):
        self.world = world
        self.hosts = list(hosts)
        self.misses = dict.fromkeys(hosts, 0)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.tasks = [asyncio.create_task(self._probe(host)) for host in hosts]

    async def _probe(self, host):
        while True:
            status = await call_http(
                host, self.world.ports['ready'], 'GET', '/readyz', timeout=0.45
            )
            was_in = self.misses[host] < 2
            self.misses[host] = 0 if status == 200 else self.misses[host] + 1
            if (self.misses[host] < 2) != was_in:
                self.world.record(
                    'rotation', node=host, is_in=self.misses[host] < 2
                )
            await asyncio.sleep(0.5)

    @property
    def in_rotation(self):
        ready = [host for host in self.hosts if self.misses[host] < 2]
        return ready if len(ready) * 2 >= len(self.hosts) else self.hosts

    def choose(self, client, service):
        return max(
            self.in_rotation,
            key=lambda host: zlib.crc32(f'{host}|{client}|{service}'.encode())
            * 2654435761 % 4294967291,
        )

    def send(self, content, client, service):
        host = self.choose(client, service)
        try:
            self.socket.sendto(content, (host, self.world.ports['data']))
        except OSError:
            pass
        return host


class ClientFlow:
    def __init__(self, client, port, service):
        self.client = client
        self.endpoint = (client.host, port)
        self.service = service
        self.seq = random.getrandbits(32)
        self.ack = 0
        self.is_open = False
        self.is_reset = False
        self.is_closed = False
        self.answer = None
        self.changed = asyncio.Event()
        self.opened_at = 0.0
        self.last_at = 0.0

    @property
    def name(self):
        return f'{self.endpoint[0]}:{self.endpoint[1]}'


class Client:
    """A client machine; each flow has a port of its own."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.flows = {}
        self.next_port = 10_000

    async def start(self):
        loop = asyncio.get_running_loop()
        _, self.udp = await loop.create_datagram_endpoint(
            lambda: Datagrams(self.receive),
            local_addr=(self.host, self.world.ports['data']),
        )

    def _send(self, flow, flags, ack, body=b''):
        flow.last_at = time.monotonic()
        content = encode(
            flags, flow.seq, ack, flow.endpoint, flow.service, body
        )
        return self.world.router.send(content, flow.endpoint, flow.service)

    async def open(self, service):
        """Opens a flow; None if it is reset or unanswered."""
        self.next_port += 1
        flow = ClientFlow(self, self.next_port, service)
        self.flows[flow.endpoint[1]] = flow
        started = time.monotonic()
        for copy, at in enumerate(OPENING_COPIES_S):
            self._send(flow, SYN, copy)
            following = (*OPENING_COPIES_S, OPENING_LIMIT_S)[copy + 1]
            await self._wait(flow, started + following - time.monotonic())
            if flow.is_open or flow.is_reset:
                break
        if not flow.is_open or flow.is_reset:
            self.flows.pop(flow.endpoint[1], None)
            return None
        return flow

    async def request(self, flow, request, deadline_s):
        """Sends one request on an open flow; returns how it ended."""
        message = (
            f'GET /stock HTTP/1.1\r\nHost: a\r\nX-Request-Id: {request}\r\n\r\n'
        ).encode()
        self.world.on_request(request, flow)
        flow.answer = None
        ends = time.monotonic() + deadline_s
        for pause in RETRANSMIT_S:
            flow.changed.clear()
            through = self._send(flow, ACK, flow.ack, message)
            self.world.record(
                'sent', request=request, flow=flow.name, through=through
            )
            await self._wait(flow, min(pause, ends - time.monotonic()))
            if flow.answer or flow.is_reset or time.monotonic() >= ends:
                break
        flow.seq = (flow.seq + len(message)) & 0xFFFFFFFF
        if flow.answer:
            outcome = 'answered'
            self._send(flow, ACK, flow.ack)
        else:
            outcome = 'reset' if flow.is_reset else 'deadline'
        self.world.record('ended', request=request, outcome=outcome)
        return outcome

    def close(self, flow):
        if not flow.is_reset and not flow.is_closed:
            flow.is_closed = True
            self._send(flow, FIN | ACK, flow.ack)

    async def _wait(self, flow, seconds):
        try:
            async with asyncio.timeout(max(seconds, 0)):
                await flow.changed.wait()
        except TimeoutError:
            pass

    def receive(self, content):
        packet = Packet(content)
        flow = self.flows.get(packet.dst[1])
        if flow is None:
            return
        if packet.flags & RST:
            self._reset(flow, packet)
        elif not packet.is_intact:
            self.world.violate('MIXED', f'{flow.name} got an altered packet')
        elif packet.flags & SYN:
            if not flow.is_open:
                flow.is_open = True
                flow.opened_at = time.monotonic()
                flow.seq = (flow.seq + 1) & 0xFFFFFFFF
                flow.ack = (packet.seq + 1) & 0xFFFFFFFF
                # The end of the handshake.
                self._send(flow, ACK, flow.ack)
                flow.changed.set()
        elif packet.body and packet.seq == flow.ack:
            flow.ack = (flow.ack + len(packet.body)) & 0xFFFFFFFF
            flow.answer = packet.body
            flow.changed.set()
        elif packet.body:
            self._send(flow, ACK, flow.ack)

    def _reset(self, flow, packet):
        distance = min(
            (packet.seq - flow.ack) & 0xFFFFFFFF,
            (flow.ack - packet.seq) & 0xFFFFFFFF,
        )
        if flow.is_closed or (flow.is_open and distance > RESET_WINDOW):
            return
        flow.is_reset = True
        flow.changed.set()
        if flow.is_open:
            self.world.on_reset(flow)


class World:
    """One deployment: processes under test, stand-ins, and the checks."""

    heartbeat_s = 1.2

    def __init__(self, folder):
        self.record = Record(Path(folder) / 'record.txt')
        self.violations = []
        self.requests = {}
        self.runs = {}
        self.network = f'127.{random.randint(20, 120)}.{random.randint(1, 250)}'
        names = ('data', 'ready', 'control', 'app', 'outbound')
        self.ports = {name: _free_port() for name in names}
        self.node_port = _free_port()
        self.store = Store(self.record)
        self.balancers, self.agents, self.targets = [], {}, {}
        self.clients, self.processes, self.notes = [], {}, {}
        self.directory = Path(tempfile.mkdtemp(prefix='anvilthread-review-'))
        roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']
        self.commands = {
            name: role['run'].split() for name, role in roles.items()
        }

    def zone_of(self, host):
        return f'zone-{"abc"[int(host.rsplit(".", 1)[1]) % 3]}'

    def configure(self, version, routes):
        document = {
            'version': version,
            'routes': [
                {
                    'name': f'r-{port}',
                    'host': host,
                    'prefix': f'/{port}/',
                    'type': 'idempotent',
                    'timeout_ms': 1500,
                    'target_latency_ms': 100,
                    'priority': 2,
                    'service': service,
                    'max_attempts': 2,
                }
                for (host, port), service in routes.items()
            ],
            'services': [
                {
                    'name': service,
                    'health_check_path': '/health',
                    'max_connections': 2000,
                }
                for service in sorted(set(routes.values()))
            ],
            'limits': {'idle_timeout_ms': 15_000},
        }
        self.store.write('op/config', json.dumps(document).encode())

    def start_process(self, host):
        is_agent = host in self.agents
        role = 'side' if is_agent else 'edge'
        path = self.directory / f'{host}.toml'
        path.write_text(self._settings(host, role))
        with (self.directory / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                self.commands[role],
                cwd=ROOT,
                env={
                    'ANVILTHREAD_BOOT': str(path),
                    # DEPLOY.md: target/deps is on Python's path.
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    **{
                        name: os.environ[name]
                        for name in ('PATH', 'HOME', 'LANG')
                        if name in os.environ
                    },
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record('process_started', node=host, role=role)

    async def terminate(self, host):
        """Stops a process as the platform does: SIGTERM, later SIGKILL."""
        process = self.processes[host]
        self.record('sigterm', node=host)
        process.send_signal(signal.SIGTERM)
        ends = time.monotonic() + 6
        while process.poll() is None:
            if time.monotonic() > ends:
                process.kill()
            await asyncio.sleep(0.01)
        self.record('process_ended', node=host, status=process.returncode)

    def _settings(self, host, role):
        ports = self.ports
        seeds = ', '.join(
            f'"{balancer}:{ports["control"]}"' for balancer in self.balancers[:3]
        )
        serves = '"side"' if role == 'side' else '"edge","control_plane"'
        target = (
            f'app = "{host}:{ports["app"]}"\nservice = "{self.agents[host]}"\n'
            if role == 'side'
            else ''
        )
        outbound = (
            f'outbound = "{host}:{ports["outbound"]}"\n' if role == 'side' else ''
        )
        return f'''node_name = "{role}-{host}"
role = "{role}"
machine_class = "{role}"
serves = [{serves}]
ip = "{host}"
zone = "{self.zone_of(host)}"
region = "region"
internal_port_range = [{self.node_port}, {self.node_port + 15}]
seed_nodes = [{seeds}]
bootstrap = true
failure_counted = false
discovery = "local"
entry_type = "anycast"
heartbeat_interval_ms = {int(self.heartbeat_s * 1000)}
policies = ["base","drain","config","cost","recover","flows","platform"]
hash_algorithm = "steady"
forwarding_mode = "agent"
{target}[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[bind_addresses]
datagram_endpoint = "{host}:{ports["data"]}"
readiness = "{host}:{ports["ready"]}"
control_plane = "{host}:{ports["control"]}"
{outbound}[limits]
cpu_fraction = 1.07
cpu_cores = 1
memory_mb = 300
max_file_descriptors = 4100
bandwidth_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
address_reuse_s = 2
contact_timeout_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_timeout_ms = 3000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
rollback_slack_ms = 250
max_skew_ms = 12000
recovery_s = 12
flow_timeout_ms = 2000
flow_lifetime_s = 60
[platform]
address = "{self.network}:{self.store.port}"
forwarding_mode = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
'''.replace(
            f'address = "{self.network}:', f'address = "{self.network}.250:'
        )

    def violate(self, rule, text):
        self.violations.append((rule, text))
        self.record('VIOLATION', rule=rule, text=repr(text))

    def on_request(self, request, flow):
        self.requests[request] = flow
        self.record('request', request=request, flow=flow.name)

    def on_run(self, target, request):
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record('run', request=request, target=target.name)
        if request not in self.requests:
            self.violate('UNASKED', f'{request} runs at {target.name}')

    def on_stray_packet(self, target, packet):
        self.record(
            'stray', target=target.name,
            flow=f'{packet.src[0]}:{packet.src[1]}',
        )

    def on_own_packet(self, target, packet):
        pass

    def on_reset(self, flow):
        holder = self.holder_of(flow)
        self.record(
            'reset', flow=flow.name, held_by=holder.name if holder else 'none'
        )
        if holder is not None:
            self.violate(
                'FLOW',
                f'{flow.name} is open at {holder.name}, which runs, and its '
                'client got a reset that the target has not sent',
            )

    def holder_of(self, flow):
        for target in self.targets.values():
            if target.holds(flow.endpoint):
                return target
        return None

    async def wait_ready(self, seconds=25):
        """Waits until all balancers are ready and a flow can be opened."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            states = await asyncio.gather(
                *(
                    call_http(host, self.ports['ready'], 'GET', '/readyz')
                    for host in self.balancers
                )
            )
            if all(status == 200 for status in states):
                return True
            await asyncio.sleep(0.2)
        return False

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def _free_port():
    """Returns a port that is free for TCP and UDP on the loopback address."""
    while True:
        port = random.randint(20_000, 31_000)
        try:
            with socket.socket() as tcp, socket.socket(
                socket.AF_INET, socket.SOCK_DGRAM
            ) as udp:
                tcp.bind(('127.0.0.1', port))
                udp.bind(('127.0.0.1', port))
        except OSError:
            continue
        return port
