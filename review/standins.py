"""Stand-ins for the users' platform, for the scripts beside this file.

The store, the workers and the clients run on one event loop of this process;
the instances of gentiandeal are separate processes with a loopback address
each. Everything behaves as PROTOCOL.md and DEPLOY.md tell; only the standard
library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import sys
import tempfile
import time
import urllib.parse

HOST_NAME = 'desk.example'
# As on the sheet of the deployment: prefix and priority of each kind of request.
PREFIX, BOOKING, LETTERS = '/case/', '/booking/', '/letters/'
PRIORITIES = {PREFIX: 0, BOOKING: 2, LETTERS: 1}
SERVICE = 'dossier'
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
HEARTBEATS_UNTIL_EXPIRY = 3
MAX_HOLD_MS = 1000
STOP_S = 0.05
BOUNDS = {
    'seed_lag_s': 3, 'reuse_delay_s': 2, 'contact_ms': 3000, 'ack_ms': 4000,
    'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 2000, 'downgrade_slack_ms': 250,
    'max_stretch_ms': 5000, 'recovery_s': 12, 'max_hold_ms': MAX_HOLD_MS,
    'stop_timeout_ms': 50, 'gang_timeout_ms': 3000, 'cancel_ms': 3000,
    'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14, 'status_s': 120,
    'remote_factor': 1.5, 'checkpoint_s': 0.5, 'restore_ms': 100,
    'notice_ms': 4500, 'migrate_s': 1.5, 'maintenance_s': 2, 'fencing': True,
    'lease_ms': 3000, 'thaw_ms': 300, 'pace_ms': 100, 'impact_ms': 4000,
    'resend_ms': 1300,
}

TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def now():
    return time.monotonic()


class Record:
    """Writes record.txt, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, 'record.txt'), 'w')
        self.began = now()

    def __call__(self, text):
        self.file.write(f'{now() - self.began:9.3f} {text}\n')
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with Content-Length; None at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                fields[name.strip().lower()] = value.strip()
        size = int(fields.get('content-length', 0))
        body = await reader.readexactly(size) if size else b''
        return lines[0], fields, body
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


class Server:
    """HTTP server whose handler returns (status, JSON), or None for silence."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                line, fields, body = message
                method, target, _ = line.split(' ', 2)
                answer = await self.handler(method, target, fields, body)
                if answer is None:
                    continue
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n'.encode() + text)
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store, on one loopback address."""

    MAX_ITEMS = 500

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []  # (revision, key)
        self.leases = {}
        self.last_lease = 70
        self.changed = asyncio.Event()
        self.renewed = {}  # lease -> renewals that have arrived

    async def start(self, host):
        self.server = Server(self.handle)
        self.address = '%s:%d' % await self.server.listen(host)
        asyncio.create_task(self.expire())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        self.items[key] = {
            'key': key, 'value': base64.b64encode(value).decode(),
            'rev': self.revision, 'created': created, 'lease': lease}
        self.note(key)

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.note(key)

    def note(self, key):
        self.history.append((self.revision, key))
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (until, _) in list(self.leases.items()):
                if now() >= until:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    async def handle(self, method, target, _, body):
        await asyncio.sleep(STORE_ANSWER_S)
        path, _, query = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        if path == '/-/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'current_rev': self.revision}
            return 200, {**item, 'current_rev': self.revision}
        if path == '/-/kv-range':
            keys = sorted(k for k in self.items
                          if k.startswith(query['prefix'])
                          and k > query.get('after', ''))
            page = keys[:self.MAX_ITEMS]
            return 200, {'items': [self.items[k] for k in page],
                         'more_pages': len(keys) > len(page),
                         'current_rev': self.revision}
        if path == '/-/kv-watch':
            return await self.watch(query)
        if path == '/-/kv-txn':
            return self.transaction(json.loads(body))
        if path == '/-/kv-lease':
            ttl_ms = max(1000, json.loads(body)['ttl_ms'])
            self.last_lease += 1
            self.leases[self.last_lease] = (now() + ttl_ms / 1000, ttl_ms)
            return 200, {'lease': self.last_lease, 'ttl_ms': ttl_ms}
        lease = int(path.rsplit('/', 1)[1])
        if lease not in self.leases:
            return 404, {}
        if method == 'DELETE':
            self.end_lease(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.renewed[lease] = self.renewed.get(lease, 0) + 1
        self.leases[lease] = (now() + ttl_ms / 1000, ttl_ms)
        return 200, {'ttl_ms': ttl_ms}

    async def next_renewal(self, name):
        """Waits until the record of an instance is renewed."""
        lease = next(item['lease'] for key, item in self.items.items()
                     if '/instances/' in key and key.endswith('/' + name))
        before = self.renewed.get(lease, 0)
        while self.renewed.get(lease, 0) == before:
            if lease not in self.leases:
                raise CannotRun(f'{name} has lost its lease')
            await asyncio.sleep(0.002)

    async def watch(self, query):
        after = int(query['after'])
        until = now() + int(query['wait_ms']) / 1000
        while True:
            keys = {}
            for revision, key in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(query['prefix']):
                    keys.setdefault(key, revision)
            if keys or now() >= until:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        events = [self.items.get(key) or
                  {'key': key, 'rev': revision, 'tombstone': True}
                  for key, revision in sorted(keys.items(),
                                              key=lambda one: one[1])]
        return 200, {'events': events, 'current_rev': self.revision}

    def transaction(self, body):
        rows = [(row, self.items.get(row['key'])) for row in body['expect']]
        if any((item['rev'] if item else 0) != row['rev']
               for row, item in rows):
            return 412, {'items': [item for _, item in rows if item]}
        leases = [row.get('lease', 0) for row in body['set_keys']]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        for row, lease in zip(body['set_keys'], leases):
            self.put(row['key'], base64.b64decode(row['value']), lease)
        for key in body.get('remove', []):
            self.remove(key)
        return 200, {'rev': self.revision}


class Run:
    def __init__(self, task, number, worker):
        self.task = task
        self.number = number
        self.worker = worker
        self.life = worker.life
        self.began = now()
        self.ended = None
        self.how = ''
        self.need = {}


class Worker:
    """One worker; `spec` of a task is its run time in milliseconds, the
    processor that it needs, and the label that its job requires."""

    def __init__(self, deployment, index, kind, zone='rennes'):
        self.deployment = deployment
        self.id = 'i-%08x' % random.getrandbits(32)
        self.rack = 'r1-%d' % (index // 6)
        self.zone = zone
        self.kind = kind
        self.address = None
        self.life = 0
        self.up = False

    @property
    def labels(self):
        return [self.kind, self.rack]

    async def start(self):
        self.life += 1
        self.up = True
        self.began = now()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.over = {}  # task -> highest run ended or stopped
        self.finished = []
        self.last_end = 0
        self.ended = asyncio.Event()
        self.server = Server(self.handle)
        host, port = self.address or (self.deployment.host(), 0)
        self.address = await self.server.listen(host, port)
        self.register()
        life = self.life
        asyncio.create_task(self.beat(life))
        asyncio.create_task(self.check_lease(life))

    def register(self):
        self.seq += 1
        entry = {
            'service': SERVICE, 'addr': '%s:%d' % self.address,
            'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': 'ready',
            'warmup_left_ms': 0,
            'capacity': {'cpu': 32000, 'mem_mb': 131072, 'gpu': 0},
            'labels': self.labels, 'clock_ms': self.clock(),
            'born': self.born, 'seq': self.seq}
        self.deployment.store.put('servers/' + self.id,
                                  json.dumps(entry).encode())
        self.listed = now()

    async def beat(self, life):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.life != life or not self.up:
                return
            self.register()

    def crash(self):
        """Ends this life: its connections end, later ones are refused."""
        self.up = False
        for run in list(self.runs.values()):
            self.end(run, 'crashed')
        self.server.close()
        asyncio.create_task(self.expire(self.life))

    async def expire(self, life):
        left = self.listed + HEARTBEATS_UNTIL_EXPIRY * HEARTBEAT_S - now()
        await asyncio.sleep(max(0, left))
        if self.life == life:
            self.deployment.store.remove('servers/' + self.id)

    def clock(self):
        return 1000 + int((now() - self.began) * 1000)

    async def check_lease(self, life):
        while self.life == life and self.up:
            if self.clock() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, 'lapsed')
            await asyncio.sleep(0.01)

    def end(self, run, how):
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
        run.ended = now()
        run.how = how
        self.deployment.record(
            f'end task={run.task} run={run.number} worker={self.id} how={how}')
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.last_end += 1
        self.finished.append([self.last_end, run.task, run.number, how, ''])
        self.ended.set()
        self.ended = asyncio.Event()

    def answer(self, status, **fields):
        return status, {'clock_ms': self.clock(), 'born': self.born, **fields}

    async def handle(self, method, target, fields, body):
        if target == '/healthz':
            return 200, {}
        expected = fields.get('expect-instance')
        if expected and expected != self.id:
            return 421, {}
        body = json.loads(body)
        late_s = self.deployment.late(self, target, body)
        if late_s is None:
            return await self.carry_out(target, body)
        asyncio.get_running_loop().call_later(
            late_s, lambda: asyncio.create_task(self.late(target, body)))
        return None

    async def late(self, target, body):
        """Carries out a call that got no answer."""
        if not self.up:
            return
        answer = await self.carry_out(target, body)
        self.deployment.record(
            f'late {target} task={body.get("task")} run={body.get("run")} '
            f'worker={self.id} life={self.life} answer={answer} '
            f'lease_left_ms={self.lease_ms - self.clock()}')

    async def carry_out(self, target, body):
        if body.get('fence', 0) < self.fence:
            return self.answer(409, reason='fence')
        self.fence = body.get('fence', 0)
        if target == '/-/run-start':
            return self.start_run(body)
        if target == '/-/run-stop':
            return self.stop_run(body)
        if target == '/-/hold':
            return await self.hold(body)
        return 404, {}

    def renew(self, body):
        if 'deadline_ms' in body:
            self.lease_ms = max(self.lease_ms, min(
                body['deadline_ms'], self.clock() + MAX_HOLD_MS))

    def start_run(self, body):
        task, number = body['task'], body['run']
        if body['deadline_ms'] < self.clock():
            return self.answer(409, reason='late')
        self.renew(body)
        held = self.runs.get(task)
        if held and held.number == number:
            return self.answer(200)
        if number <= self.over.get(task, 0):
            return self.answer(409, reason='old')
        run = Run(task, number, self)
        spec = json.loads(body['spec'])
        run.need = spec
        run.labels = self.labels
        self.runs[task] = run
        self.deployment.runs.append(run)
        self.deployment.record(
            f'start task={task} run={number} worker={self.id} '
            f'life={self.life} labels={",".join(self.labels)} '
            f'fence={self.fence} spec={body["spec"]}')
        asyncio.get_running_loop().call_later(
            spec['ms'] / 1000, self.finish, run)
        return self.answer(200)

    def finish(self, run):
        if run.ended is None and run.life == self.life and not run.how:
            self.end(run, 'done')

    def stop_run(self, body):
        task, number = body['task'], body['run']
        self.over[task] = max(self.over.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number == number and not run.how:
            run.how = 'stopping'
            asyncio.get_running_loop().call_later(STOP_S, self.stopped, run)
        return self.answer(200)

    def stopped(self, run):
        if run.ended is None and run.life == self.life:
            self.end(run, 'stopped')

    async def hold(self, body):
        life = self.life
        self.renew(body)
        seen = body.get('last_seen', 0)
        self.finished = [row for row in self.finished if row[0] > seen]
        wait_s = body.get('wait_ms', 0) / 1000
        if wait_s > 0 and not self.finished:
            try:
                await asyncio.wait_for(self.ended.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        if life != self.life:
            return None
        running = [[run.task, run.number, '',
                    min(99, int(100 * (now() - run.began) /
                                max(0.001, run.need['ms'] / 1000))),
                    run.need.get('cpu', 0)]
                   for run in self.runs.values() if not run.how]
        return self.answer(200, running=running, finished=self.finished[:500])


class Instance:
    """One process of gentiandeal, with a loopback address of its own."""

    def __init__(self, deployment, name, zone='rennes'):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.host = deployment.host()
        self.process = None

    def settings(self):
        port = 20000 + random.randrange(10000)
        zones = self.deployment.zones
        return {
            'node_name': self.name, 'role': 'entry', 'machine_class': 'edge',
            'serves': ['edge'], 'ip': self.host, 'zone': self.zone,
            'region': 'bretagne', 'zones': {z: 'bretagne' for z in zones},
            'listen': {'frontend': f'{self.host}:8161',
                       'ready': f'{self.host}:8167'},
            'port_range': [port, port + 15], 'seeds': [], 'bootstrap': True,
            'loss_counts': False,
            'limits': {'cpu_quota': 0.25, 'cores': 1, 'memory_mb': 260,
                       'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0},
            'data_dir': None, 'discovery': 'platform', 'entry': 'vip',
            'heartbeat_ms': int(HEARTBEAT_S * 1000),
            'contracts': ['base', 'drain', 'config', 'cost', 'recover',
                          'sched', 'platform', 'advice', 'upkeep', 'sharing'],
            'fault_tolerance': {'machines': 1, 'zones': 1, 'region_count': 0},
            'bounds': BOUNDS, 'commands': 'rpc',
            'platform': {'addr': self.deployment.store.address, 'form': 'kv',
                         'writes_per_s': 400, 'reads_per_s': 2000,
                         'history_s': 20, 'value_bytes': 1048576,
                         'min_ttl_ms': 1000},
            'cloud_api': {'addr': self.deployment.store.address,
                          'rate_per_s': 60.0, 'duties': [],
                          'duty_per_s': 60.0}}

    async def start(self):
        path = os.path.join(self.deployment.folder, self.name + '.json')
        with open(path, 'w') as file:
            json.dump(self.settings(), file)
        log = open(os.path.join(self.deployment.folder, self.name + '.log'),
                   'a')
        self.process = await asyncio.create_subprocess_exec(
            'target/gentiandeal', 'hosted', stdout=log, stderr=log,
            env={'GENTIANDEAL_CONFIG': path, 'PATH': os.environ['PATH']})
        log.close()

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def ready(self):
        try:
            status, _ = await call(self.host, 8167, 'GET', '/-/readyz')
            return status == 200
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        until = now() + limit_s
        while not await self.ready():
            if now() > until:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    pass


class Broken(Exception):
    """A connection that ended before a complete answer."""


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, host, port=8161):
        self.host, self.port = host, port
        self.reader = self.writer = None
        self.keep = True

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host, self.port)

    async def send(self, method, path, body=None, deadline_ms=None):
        """@returns (status, JSON); raises Broken."""
        if self.writer is None:
            await self.open()
        text = json.dumps(body).encode() if body is not None else b''
        head = f'{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
        if text:
            head += ('Content-Type: application/json\r\n'
                     f'Content-Length: {len(text)}\r\n')
        if deadline_ms:
            head += f'Deadline-Ms: {deadline_ms}\r\n'
        try:
            self.writer.write(head.encode() + b'\r\n' + text)
        except (ConnectionError, OSError):
            raise Broken
        message = await read_message(self.reader)
        if message is None:
            raise Broken
        line, fields, answer = message
        if fields.get('connection', '').lower() == 'close':
            self.keep = False
        try:
            value = json.loads(answer) if answer else {}
        except ValueError:
            value = {}
        return int(line.split(' ')[1]), value

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def call(host, port, method, path, body=None, deadline_ms=None,
               timeout_s=2):
    connection = Connection(host, port)
    try:
        return await asyncio.wait_for(
            connection.send(method, path, body, deadline_ms), timeout_s)
    except Broken:
        raise ConnectionError('no answer')
    finally:
        connection.close()


class Deployment:
    """A small deployment: store, workers, instances, and what was seen."""

    def __init__(self, folder, zones=('rennes',)):
        self.case = folder
        self.record = Record(folder)
        self.zones = zones
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.workers = []
        self.instances = []
        self.runs = []
        self.network = '127.%d.%d.' % (random.randrange(16, 250),
                                       random.randrange(1, 250))
        self.last_host = 1
        # Of a call to a worker: after how many seconds it is carried out
        # without an answer, or None.
        self.late = lambda worker, target, body: None

    def host(self):
        """@returns a loopback address that this script uses only once."""
        self.last_host += 1
        return self.network + str(self.last_host)

    async def start(self, instances, kinds, retries=3):
        if not os.access('target/gentiandeal', os.X_OK):
            raise CannotRun('target/gentiandeal is missing: build it first')
        await self.store.start(self.host())
        routes = [{'name': 'r-' + prefix.strip('/'), 'host': HOST_NAME,
                   'prefix': prefix, 'kind': 'mutating', 'timeout_ms': 1500,
                   'slo_ms': 60, 'priority': priority, 'service': SERVICE,
                   'retries': retries, 'stretch': 1.6}
                  for prefix, priority in PRIORITIES.items()]
        service = {'name': SERVICE, 'health_path': '/healthz',
                   'max_conns': 64, 'protocol': 'h1', 'tls': False,
                   'admission_control': False, 'standby': False}
        self.store.put('op/config', json.dumps({
            'version': 7, 'routes': routes, 'services': [service],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000},
        }).encode())
        for index, kind in enumerate(kinds):
            worker = Worker(self, index, kind,
                            self.zones[index % len(self.zones)])
            self.workers.append(worker)
            await worker.start()
        for index in range(instances):
            zone = self.zones[index % len(self.zones)]
            instance = Instance(self, f'edge-{zone}-{index + 1}', zone)
            self.instances.append(instance)
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(3)
        self.record('ready')

    async def stop(self):
        for instance in self.instances:
            if instance.running():
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                await instance.process.wait()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            os.makedirs(logs, exist_ok=True)
            for name in os.listdir(self.folder):
                os.rename(os.path.join(self.folder, name),
                          os.path.join(logs, name))
        self.temporary.cleanup()


def new_id():
    return '%016x' % random.getrandbits(64)


def main(case, limit_s=115):
    """Runs `case(deployment)`, which returns the number of breaks."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def play():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment), limit_s)
        except (CannotRun, asyncio.TimeoutError) as error:
            deployment.record(f'cannot run: {error!r}')
            return None
        finally:
            await deployment.stop()

    breaks = asyncio.run(play())
    if breaks is None:
        sys.exit(2)
    print(f'trouble={int(TROUBLE)} breaks={breaks}')
    sys.exit(1 if breaks else 0)
