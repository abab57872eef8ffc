"""Stand-ins of the platform's store, model servers, origin and clients, and the processes under review.

Everything runs on loopback addresses. The stand-ins follow PROTOCOL.md; where it is silent they behave like
a sound server, client or store. Disruptions are switched on by the case that uses this module.
"""
import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
MODEL = 'daka510000'
PIECES = 48
PIECE_SIZE = 49152
KEY = 'jnbanfqasnmgkcuyj8pj'


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w', encoding='utf-8')
        self.begun = time.monotonic()

    def __call__(self, *words):
        self.file.write('%8.3f %s\n' % (time.monotonic() - self.begun, ' '.join(str(word) for word in words)))
        self.file.flush()


# HTTP/1.1 ------------------------------------------------------------------------------------------------------

async def read_head(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if 'content-length' in fields:
        return await reader.readexactly(int(fields['content-length']))
    return b''


def reset(writer):
    """Ends a channel with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
        except OSError:
            pass
    writer.transport.abort()


def head_text(status, fields):
    reasons = {200: 'OK', 202: 'Accepted', 404: 'Not Found', 409: 'Conflict', 421: 'Misdirected Request',
               500: 'Internal Server Error', 503: 'Service Unavailable', 201: 'Created', 410: 'Gone'}
    lines = ['HTTP/1.1 %d %s' % (status, reasons.get(status, 'Status'))]
    lines += ['%s: %s' % field for field in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def answer_bytes(status, body, fields=None):
    all_fields = dict(fields or {})
    all_fields['Content-Length'] = str(len(body))
    return head_text(status, all_fields) + body


class Server:
    """An HTTP server; a subclass answers requests with handle()."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20, backlog=512)

    def crash(self):
        """Ends the listener and resets all channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target = line.split(' ')[:2]
                if not await self.handle(method, target, fields, body, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def query_of(target):
    path, _, query = target.partition('?')
    values = {}
    for part in query.split('&'):
        name, _, value = part.partition('=')
        values[name] = value
    return path, values


# The platform's store ------------------------------------------------------------------------------------------

class Store(Server):
    def __init__(self, host, port):
        super().__init__(host, port)
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return
        self.revision += 1
        value = {'metadata': {'name': name, 'revision': self.revision}, 'spec': spec}
        self.objects[kind][name] = value
        self.record(kind, value, False)

    def remove(self, kind, name):
        value = self.objects.get(kind, {}).pop(name, None)
        if value is not None:
            self.revision += 1
            self.record(kind, value, True)

    def record(self, kind, value, deleted):
        self.history.append((self.revision, kind, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, fields, body, writer):
        path, query = query_of(target)
        parts = path.split('/')
        if len(parts) < 4 or parts[1] != '-' or parts[2] != 'objects':
            writer.write(answer_bytes(404, b'{}'))
            return True
        kind, name = parts[3], '/'.join(parts[4:])
        await asyncio.sleep(0.004)
        if method == 'GET' and 'watch' in query:
            writer.write(answer_bytes(200, await self.watch(kind, query), {'Content-Type': 'application/json'}))
        elif method == 'GET' and not name:
            items = list(self.objects.get(kind, {}).values())
            text = json.dumps({'items': items, 'more_pages': False, 'current_rev': self.revision}).encode()
            writer.write(answer_bytes(200, text, {'Content-Type': 'application/json'}))
        elif method == 'GET':
            known = self.objects.get(kind, {}).get(name)
            writer.write(answer_bytes(200 if known else 404, json.dumps(known or {}).encode()))
        elif method == 'POST':
            sent = json.loads(body)
            name = sent['metadata']['name']
            known = self.objects.get(kind, {}).get(name)
            if known is None:
                self.put(kind, name, sent.get('spec'))
            writer.write(answer_bytes(409 if known else 201, json.dumps(self.objects[kind][name]).encode()))
        else:
            known = self.objects.get(kind, {}).get(name)
            sent = json.loads(body) if body else {}
            wanted = sent.get('metadata', {}).get('revision')
            if known is None:
                writer.write(answer_bytes(404, b'{}'))
            elif wanted is not None and wanted != known['metadata']['revision']:
                writer.write(answer_bytes(409, json.dumps(known).encode()))
            else:
                self.put(kind, name, sent.get('spec'))
                writer.write(answer_bytes(200, json.dumps(self.objects[kind][name]).encode()))
        await writer.drain()
        return True

    async def watch(self, kind, query):
        after = int(query['watch'])
        end = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
        while True:
            events = [{'object': value, 'deleted': deleted} for revision, changed, value, deleted in self.history
                      if revision > after and changed == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return json.dumps({'events': events, 'current_rev': self.revision}).encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Weights -------------------------------------------------------------------------------------------------------

def piece_of(version, number):
    return hashlib.sha256(b'%d/%d' % (version, number)).digest() * (PIECE_SIZE // 32)


class Origin(Server):
    """Gives out manifests and pieces over a link of 15 Mbit/s."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.free_at = 0

    async def handle(self, method, target, fields, body, writer):
        path, query = query_of(target)
        version = int(query.get('version', '1'))
        if path.startswith('/-/manifest/'):
            digests = [hashlib.sha256(piece_of(version, i)).hexdigest() for i in range(PIECES)]
            text = json.dumps({'model': MODEL, 'version': version, 'chunk_bytes': PIECE_SIZE, 'layers': 16,
                               'digests': digests}).encode()
        else:
            text = piece_of(version, int(query['num']))
            now = time.monotonic()
            self.free_at = max(now, self.free_at) + len(text) * 8 / 15e6
            await asyncio.sleep(self.free_at - now)
        writer.write(answer_bytes(200, text))
        await writer.drain()
        return fields.get('connection', '').lower() != 'close'


class ModelServer(Server):
    """A model server: batches, streams of events, staged weights. It is in the store's list from register() on."""

    def __init__(self, host, port, store, record, service, zone, number, slots=16, seed=1):
        super().__init__(host, port)
        self.store, self.record, self.service, self.zone, self.slots = store, record, service, zone, slots
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.lifetime = 0
        self.active = 0
        self.staged = {i: piece_of(1, i) for i in range(PIECES)}
        self.loaded = 1
        self.sequence = 0
        self.busy = False
        self.runs = {}
        self.bad_loads = []
        self.rotten = {}
        self.has_bad_weights = False
        self.bad_tokens = []
        self.grey = 0.0
        self.lost = 0.0
        self.event_gap = 0.04
        self.events = 12
        self.on_stage_get = None
        self.awake = asyncio.Event()
        self.awake.set()

    async def start(self):
        self.lifetime += 1
        self.id = 'i-%04x%04x' % (self.number, self.lifetime)
        self.born = int(time.time() * 1000)
        self.active = 0
        await super().start()
        self.register()

    def models(self):
        return [{'name': MODEL, 'version': self.loaded, 'adapters': []}] if self.loaded else []

    def register(self):
        self.store.put('servers', self.id, {
            'service': self.service, 'address': '%s:%d' % (self.host, self.port), 'zone': self.zone, 'version': 'v1',
            'slots': self.slots, 'state': 'ready', 'cold_left_ms': 0, 'stage': 'combined', 'models': self.models(),
            'sequence': self.sequence, 'born': self.born})

    async def handle(self, method, target, fields, body, writer):
        await self.awake.wait()
        path, query = query_of(target)
        if path.startswith('/-/') or path == '/healthz':
            return await self.handle_own(path, query, body, writer)
        attempt = fields.get('attempt-id', '')
        base = {'Attempt-Id': attempt, 'Instance-Id': self.id,
                'Server-Load': '%d,0,%d' % (self.active, self.slots)}
        if fields.get('expect-instance', self.id) != self.id:
            writer.write(answer_bytes(421, b'', base))
            return True
        if self.active >= self.slots:
            writer.write(answer_bytes(503, b'', dict(base, **{'Not-Executed': '1'})))
            return True
        self.active += 1
        lifetime = self.lifetime
        try:
            return await self.run(attempt, fields, body, base, writer)
        finally:
            if lifetime == self.lifetime:
                self.active -= 1

    async def run(self, attempt, fields, body, base, writer):
        sign = {'Server-Signature': 'sig-%s-%s' % (self.id, attempt), 'Weight-Versions': str(self.loaded)}
        self.record('server', self.id, 'runs', attempt, 'body', len(body), 'weights', self.loaded)
        if self.random.random() < self.grey:
            await asyncio.sleep(0.02)
            text = ('{"error":"failed at %s"}' % self.id).encode()
            self.runs.setdefault(attempt, []).append((self.id, 500, text, True))
            self.record('server', self.id, 'answers', attempt, 500, 'body', text.decode())
            writer.write(answer_bytes(500, text, dict(base, **sign)))
            await writer.drain()
            return True
        await asyncio.sleep(0.03)
        if self.has_bad_weights:
            self.record('server', self.id, 'makes tokens with bad weights for', attempt)
            self.bad_tokens.append(attempt)
        first = int(fields.get('last-event-id') or 0) + 1
        events = [b'id: %d\ndata: %s %d\n\n' % (i, attempt.encode(), i) for i in range(first, self.events + 1)]
        head = head_text(200, dict(base, **sign, **{'Content-Type': 'text/event-stream',
                                                    'Transfer-Encoding': 'chunked'}))
        if self.random.random() < self.lost:
            # The answer is lost: the channel is reset in the middle of the first event.
            part = events[0][:7]
            self.runs.setdefault(attempt, []).append((self.id, 200, part, False))
            self.record('server', self.id, 'loses the answer of', attempt, 'in its first event')
            writer.write(head + b'%x\r\n' % len(events[0]) + part)
            await writer.drain()
            await asyncio.sleep(0.01)
            reset(writer)
            return False
        self.runs.setdefault(attempt, []).append((self.id, 200, b''.join(events), True))
        self.record('server', self.id, 'answers', attempt, 200, 'events', '%d-%d' % (first, self.events))
        writer.write(head)
        for event in events:
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_gap)
            await self.awake.wait()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True

    async def handle_own(self, path, query, body, writer):
        status, text = 200, b''
        if path == '/healthz':
            writer.write(answer_bytes(200, b'', {'Instance-Id': self.id}))
            return True
        if path == '/-/report':
            text = json.dumps({'stage': 'combined', 'models': self.models(), 'busy': self.busy,
                               'sequence': self.sequence, 'queued': 0, 'active': self.active, 'kv_used': 0,
                               'kv_total': 1640000, 'handles': 0, 'pace': 1.0, 'born': self.born}).encode()
        elif path.startswith('/-/stage-put/'):
            self.staged[int(query['num'])] = body
            self.rotten.pop(int(query['num']), None)
        elif path.startswith('/-/stage-get/') and 'num' not in query:
            text = json.dumps({'held': sorted(self.staged)}).encode()
        elif path.startswith('/-/stage-get/'):
            number = int(query['num'])
            status, text = (200, self.staged[number]) if number in self.staged else (404, b'')
            if self.on_stage_get is not None:
                self.on_stage_get(self, number)
        elif path == '/-/order':
            status = self.order(json.loads(body))
        else:
            status = 404
        writer.write(answer_bytes(status, text))
        await writer.drain()
        return True

    def rot(self, number):
        """A staged piece turns bad."""
        self.staged[number] = b'#' + self.staged[number][1:]
        self.rotten[number] = time.monotonic()
        self.record('server', self.id, 'piece', number, 'turns bad')

    def order(self, order):
        version = order['version']
        if self.busy:
            return 409
        if version == self.loaded:
            return 200
        self.sequence += 1
        now = time.monotonic()
        bad = [i for i in range(PIECES) if self.staged.get(i) != piece_of(version, i)]
        ages = ['%d (bad for %.2f s)' % (i, now - self.rotten[i]) for i in bad if i in self.rotten]
        self.record('server', self.id, 'accepts the order to load', version, 'pieces that are not of it:', bad, ages)
        # WHOLE excuses a piece that turned bad there in the last 3 s.
        if any(now - self.rotten.get(i, 0) > 3 for i in bad):
            self.bad_loads.append((self.id, version, bad))
        self.busy = True
        asyncio.ensure_future(self.load(version, bool(self.bad_loads)))
        return 202

    async def load(self, version, is_bad):
        while self.active > 0:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        self.loaded = version
        self.has_bad_weights = is_bad
        self.busy = False
        self.register()


# Clients -------------------------------------------------------------------------------------------------------

class Answer:
    """What a client got: status None when the channel ended without an answer."""

    def __init__(self, status=None, fields=None, body=b'', complete=False):
        self.status, self.fields, self.body, self.complete = status, fields or {}, body, complete


async def read_answer(reader):
    line, fields = await read_head(reader)
    answer = Answer(int(line.split(' ')[1]), fields)
    try:
        if fields.get('transfer-encoding', '').lower() == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += chunk[:-2]
        else:
            answer.body = await reader.readexactly(int(fields.get('content-length', '0')))
        answer.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        pass
    return answer


async def ask(host, port, method, target, fields, body=b'', wait=7.0):
    """Sends one request on a new channel and returns the answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
        lines = ['%s %s HTTP/1.1' % (method, target)] + ['%s: %s' % field for field in fields.items()]
        if body:
            lines.append('Content-Length: %d' % len(body))
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
        await writer.drain()
        return await read_answer(reader)

    try:
        return await asyncio.wait_for(exchange(), wait)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
        return Answer()
    finally:
        if writer is not None:
            writer.close()


def stream_request(attempt, host='jepu9.example', deadline_ms=6000, prompt=607, part='5c1e07a2'):
    return {'Host': host, 'Attempt-Id': attempt, 'Model': MODEL, 'Token-Usage': '%d,80' % prompt,
            'Prompt-Prefix': '%s:40,%s:%d' % (part, attempt, prompt - 40), 'Deadline-Ms': str(deadline_ms), 'Key': KEY}


# Processes under review ----------------------------------------------------------------------------------------

def values_of(machine):
    """The fields of the platform's settings that the project's templates use."""
    bounds = {'retry_budget_ratio': 0.2, 'retry_budget_extra': 104, 'budget_window_s': 10, 'cold_overage': 1.5,
              'cold_slack': 5, 'version_ms': 8000, 'config_apply_ms': 2000, 'drain_ms': 2000, 'grace_s': 8}
    values = {'bounds.' + name: value for name, value in bounds.items()}
    values.update(machine)
    return values


def fill(template, values, zones):
    text = template.replace('{{#zones}}{{@}}={{.}}{{,}}{{/zones}}',
                            ','.join('%s=%s' % zone for zone in zones.items()))
    return re.sub(r'{{([a-z_.0-9]+)}}', lambda match: str(values[match.group(1)]), text)


class Process:
    """A process of the deploy file, with the settings that its template gives."""

    def __init__(self, fleet, role, host, zone, extra):
        self.fleet, self.role, self.host, self.zone = fleet, role, host, zone
        self.name = '%s-%s' % (role, host.split('.')[-1])
        values = values_of(dict({
            'node_name': self.name, 'zone': zone, 'ip': host, 'port_range.0': fleet.ports[0],
            'port_range.1': fleet.ports[1], 'platform.address': fleet.store_address, 'limits.link_mbps': 9.4,
            'listen.frontend': '%s:%d' % (host, fleet.ports[2]), 'listen.ready': '%s:%d' % (host, fleet.ports[3])},
            **extra))
        template = 'platform/entry.ini' if role == 'entry' else 'platform/agent.ini'
        with open(os.path.join(REPO, template), encoding='utf-8') as file:
            text = fill(file.read(), values, fleet.zones)
        self.settings = os.path.join(fleet.folder, self.name + '.ini')
        with open(self.settings, 'w', encoding='utf-8') as file:
            file.write(text.replace(':9464', ':%d' % fleet.ports[4]))
        self.process = None

    async def start(self):
        program = ['target/bin/oriolerill', 'relay'] if self.role == 'entry' \
            else ['target/bin/oriolerill-agent', '--relay']
        log = open(os.path.join(self.fleet.folder, self.name + '.log'), 'ab')
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(REPO, program[0]), *program[1:], '--settings', self.settings, cwd=REPO,
            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def resident_mb(self):
        """Resident memory without the pages of files; 0 when the process is gone."""
        try:
            with open('/proc/%d/status' % self.process.pid, encoding='utf-8') as file:
                for line in file:
                    if line.startswith('RssAnon:'):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0


class Fleet:
    """A small deployment: store, origin, model servers with their agents, entries."""

    def __init__(self, case_file, servers, entries, seed=1):
        self.case_folder = os.path.dirname(os.path.abspath(case_file))
        self.record = Record(self.case_folder)
        self.folder = tempfile.mkdtemp(prefix='oriolerill-review-')
        self.net = self.free_net()
        self.ports = (7700, 7701, 8005, 8002, 9464)
        self.zones = {'montevideo-a': 'montevideo', 'salto-a': 'litoral'}
        self.store_address = self.address(2) + ':8007'
        self.store = Store(self.address(2), 8007)
        self.origin = Origin(self.address(3), 8006)
        names = list(self.zones)
        self.servers = [ModelServer(self.address(20 + i), 8001, self.store, self.record, 'huvo11a', names[i % 2], i,
                                    seed=seed) for i in range(servers)]
        self.agents = [Process(self, 'agent', server.host, server.zone,
                               {'service': 'huvo11a', 'app': '%s:8001' % server.host}) for server in self.servers]
        self.entries = [Process(self, 'entry', self.address(120 + i), names[i % 2], {}) for i in range(entries)]

    @staticmethod
    def free_net():
        for _ in range(50):
            net = '127.%d.%d' % (random.randint(60, 200), random.randint(1, 250))
            try:
                for last, port in ((2, 8007), (3, 8006), (20, 8001), (20, 7701), (120, 8005)):
                    with socket.socket() as probe:
                        probe.bind(('%s.%d' % (net, last), port))
                return net
            except OSError:
                continue
        raise RuntimeError('no free loopback addresses')

    def address(self, last):
        return '%s.%d' % (self.net, last)

    def config(self, version=1):
        route = {'name': 'r-js2eek2', 'host': 'jepu9.example', 'path_prefix': '/lepu270/', 'type': 'streaming',
                 'timeout_ms': 6000, 'target_latency_ms': 400, 'priority': 1, 'service': 'huvo11a',
                 'max_attempts': 2, 'public': False, 'sticky': True, 'resumable': True, 'target_gap_ms': 300,
                 'allowed_regions': []}
        engine = {'slots': 16, 'kv_capacity': 1640000, 'models': [{'name': MODEL, 'pace': 1.0, 'load_s': 4.0,
                  'warm_s': 0.3}], 'step_ms': 6.73, 'per_seq_ms': 0.0219, 'context_per_k': 0.0068,
                  'read_per_s': 30600.0, 'pairs_per_m': 0.647, 'chunk': 2048, 'report_lag_ms': 200.0, 'layers': 16,
                  'chunks': PIECES, 'chunk_bytes': PIECE_SIZE, 'usual': {'prompt': 964, 'answer': 119}}
        return {'version': version, 'routes': [route], 'services': [
                    {'name': 'huvo11a', 'health_path': '/healthz', 'max_conns': 434, 'protocol': 'h1', 'tls': False,
                     'cold_start_s': 3.0, 'cold_per_s': 36.0, 'engine': engine},
                    {'name': 'kafi81c', 'origin': self.address(3) + ':8006', 'zone': 'salto-a', 'link_mbps': 15.0,
                     'max_conns': 48}],
                'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000,
                           'idle_timeout_ms': 15000},
                'tenants': [{'name': 'bozi300', 'api_keys': [KEY], 'priority': 1, 'allowed_regions': []}]}

    async def start(self):
        """Starts everything; returns when all entries say that they are ready."""
        self.store.put('config', 'main', self.config())
        self.store.put('versions', MODEL, {'model': MODEL, 'version': 1})
        await self.store.start()
        await self.origin.start()
        for server in self.servers:
            await server.start()
        for process in self.agents + self.entries:
            await process.start()
        for entry in self.entries:
            await self.ready(entry)
        await asyncio.sleep(3)

    async def ready(self, entry, wait=15):
        end = time.monotonic() + wait
        while time.monotonic() < end:
            answer = await ask(entry.host, self.ports[3], 'GET', '/-/readyz', {'Host': 'x'}, wait=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError('%s is not ready' % entry.name)

    async def end(self):
        for process in self.agents + self.entries:
            await process.end()
        for server in self.servers + [self.origin, self.store]:
            server.crash()
        if os.environ.get('KEEP') is None:
            shutil.rmtree(self.folder, ignore_errors=True)


async def until_ended(case):
    """Runs a case; SIGTERM and SIGINT end it, and with it all processes that it started."""
    task = asyncio.ensure_future(case())
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, 115)


def run_case(case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    try:
        broken = asyncio.run(until_ended(case))
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print('the case could not run:', type(error).__name__, error)
        raise SystemExit(2) from error
    raise SystemExit(1 if broken else 0)
