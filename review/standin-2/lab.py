"""Stand-ins for the cases of the second review: the platform's store, plain servers, model servers and clients.

Everything listens on loopback addresses. They speak PROTOCOL.md; where a page is silent they behave like sound ones.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))


def now():
    return time.monotonic()


class CannotRun(Exception):
    pass


def free_port(hosts, tcp=True, udp=False):
    """A port that is free at all these addresses."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        sockets = []
        try:
            for host in hosts:
                for kind, wanted in ((socket.SOCK_STREAM, tcp), (socket.SOCK_DGRAM, udp)):
                    if wanted:
                        sock = socket.socket(socket.AF_INET, kind)
                        sockets.append(sock)
                        sock.bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRun("no free port")


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = now()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.begun, text))
        self.file.flush()

    def say(self, text):
        self(text)
        print(text)


class Head:
    def __init__(self, first, fields):
        self.first = first
        self.fields = fields

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Head(lines[0], fields)


async def read_chunks(reader, on_piece=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += piece
        if on_piece:
            on_piece(piece)


async def read_body(reader, head):
    if head.get("transfer-encoding").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


def answer_bytes(status, fields, body=b"", reason="X"):
    lines = ["HTTP/1.1 %d %s" % (status, reason)]
    lines += ["%s: %s" % item for item in fields.items()]
    lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Listener:
    """An HTTP/1.1 server; answer(head, body, writer) returns the bytes of the answer or None to close."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, backlog=512)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                data = await self.answer(head, body, reader, writer)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, body, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's metadata store, with lists, watches and one revision counter."""

    def __init__(self, host, port, record):
        super().__init__(host, port)
        self.record = record
        self.rev = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.waiting = {}
        self.calls = 0

    def put(self, kind, name, spec):
        self.rev += 1
        old = self.objects.setdefault(kind, {}).get(name)
        created = old["metadata"]["created"] if old else self.rev
        metadata = {"name": name, "revision": self.rev, "created": created, "finalizers": [], "deleting": False}
        self.objects[kind][name] = {"metadata": metadata, "spec": spec, "status": None}
        self.announce(kind, self.objects[kind][name], False)

    def remove(self, kind, name):
        gone = self.objects[kind].pop(name)
        self.rev += 1
        self.announce(kind, gone, True)

    def announce(self, kind, what, deleted):
        self.events.append((self.rev, kind, {"object": what, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self):
        """Closes the channels of all watches that are waiting."""
        for writer in list(self.waiting):
            writer.transport.abort()
        return len(self.waiting)

    def since(self, kind, rev):
        return [event for at, of, event in self.events if of == kind and at > rev]

    async def answer(self, head, body, reader, writer):
        self.calls += 1
        method, target, _ = head.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        kind = parts[0]
        if method != "GET":
            return self.write(method, parts, body, query)
        if len(parts) == 2:
            found = self.objects.get(kind, {}).get(parts[1])
            return self.json(200, found) if found else self.json(404, {})
        if "watch" in query:
            rev, end = int(query["watch"]), now() + int(query.get("wait_ms", "0")) / 1000
            self.waiting[writer] = kind
            try:
                while not self.since(kind, rev) and now() < end:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - now())
                    except asyncio.TimeoutError:
                        pass
            finally:
                self.waiting.pop(writer, None)
            return self.json(200, {"events": self.since(kind, rev), "current_rev": self.rev})
        await asyncio.sleep(0.004)
        items = sorted(self.objects.get(kind, {}).values(), key=lambda item: item["metadata"]["name"])
        return self.json(200, {"items": items, "more_pages": False, "current_rev": self.rev})

    def write(self, method, parts, body, query):
        value = json.loads(body or b"{}")
        if method == "POST":
            name = value["metadata"]["name"]
            if name in self.objects.get(parts[0], {}):
                return self.json(409, self.objects[parts[0]][name])
            self.put(parts[0], name, value.get("spec"))
            return self.json(201, self.objects[parts[0]][name])
        return self.json(503, {})

    @staticmethod
    def json(status, value):
        return answer_bytes(status, {"Content-Type": "application/json"}, json.dumps(value).encode())


class Server(Listener):
    """A plain server. arrivals has (time, id) of each request that it began."""

    def __init__(self, host, port, ident, service, zone, record, slots=8, work_s=0.01):
        super().__init__(host, port)
        self.ident, self.service, self.zone, self.record = ident, service, zone, record
        self.slots, self.work_s = slots, work_s
        self.arrivals = []
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.active = 0

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": "%s:%d" % (self.host, self.port), "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born}

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.first.split(" ")
        ident = head.get("attempt-id")
        if head.get("expect-instance") not in ("", self.ident):
            return answer_bytes(421, {"Instance-Id": self.ident, "Attempt-Id": ident})
        self.arrivals.append((now(), ident))
        self.record("run      %s at %s: %s %s" % (ident, self.ident, method, target))
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        text = ("done %s by %s" % (ident, self.ident)).encode()
        fields = {"Attempt-Id": ident, "Server-Signature": "s.%s.%d" % (ident, len(text)),
                  "Server-Load": "%d,0,%d" % (self.active, self.slots), "Instance-Id": self.ident}
        data = answer_bytes(200, fields, text)
        return data[:-len(text)] if method == "HEAD" else data


class Engine(Server):
    """A model server that answers reports; streams are not needed where no client asks for them."""

    version = 1
    model = "model-1"

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": [],
                 "layers": {"from": 0, "target": 4, "version": self.version}}]

    def entry(self):
        entry = super().entry()
        entry.update({"stage": "combined", "models": self.models()})
        return entry

    async def answer(self, head, body, reader, writer):
        if head.first.startswith("GET /-/report"):
            state = {"stage": "combined", "models": self.models(), "busy": False, "sequence": 0, "queued": 0,
                     "active": self.active, "kv_used": 0, "kv_total": 1000000, "handles": 0, "born": self.born,
                     "pace": 1.0}
            return Store.json(200, state)
        if head.first.startswith("GET /-/stage-get/"):
            return Store.json(200, {"held": []})
        return await super().answer(head, body, reader, writer)


def engine_service(name, host, port, model="model-1", slots=16):
    return {"name": name, "health_path": "/healthz", "max_conns": 224, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0,
            "engine": {"slots": slots, "kv_capacity": 1640000, "kv_bytes": 163840, "link_mbps": 400000.0, "stride": 6,
                       "models": [{"name": model, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}], "size_mb": 282000.0,
                       "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
                       "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0,
                       "usual": {"prompt": 964, "answer": 119}, "layers": 4, "layer_mb": 4540.0, "act_bytes": 16384,
                       "chunks": 4, "chunk_bytes": 1024}}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}


def route(host, prefix, kind, service, **more):
    fields = {"name": "r" + prefix.replace("/", "-"), "host": host, "path_prefix": prefix, "type": kind,
              "timeout_ms": 2500, "target_latency_ms": 150, "priority": 1, "service": service, "max_attempts": 2,
              "public": False, "sticky": False, "resumable": False, "allowed_regions": []}
    fields.update(more)
    return fields


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class Lab:
    """Processes of the project and the stand-ins around them."""

    def __init__(self, folder, limit_s=115):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.listeners = []
        self.limit_s = limit_s
        self.trouble = os.environ.get("TROUBLE", "1") != "0"

    def settings(self, name, sections):
        path = os.path.join(self.temp, name + ".ini")
        lines = []
        for section, values in sections.items():
            lines.append("[%s]" % section)
            lines += ["%s = %s" % item for item in values.items()]
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        return path

    def start(self, name, command):
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(command[0] + " is not built")
        log = open(os.path.join(self.temp, name + ".log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                   env=environment)
        self.processes[name] = process
        self.record("started  %s as process %d" % (name, process.pid))
        return process

    def log(self, name):
        with open(os.path.join(self.temp, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def start_entry(self, name, host, ports, zone, regions, store):
        """ports: caller, status, metrics, load."""
        sections = {
            "entry": {"id": name, "data_centre": zone},
            "fleet": {"regions": ",".join("%s=%s" % item for item in regions.items())},
            "listen": {key: "%s:%d" % (host, port)
                       for key, port in zip(("caller", "status", "metrics", "load"), ports)},
            "store": {"address": store},
            "bounds": {"retry_ratio": 0.2, "retry_extra": 100, "retry_window_s": 10, "cold_overage": 1.5,
                       "cold_slack": 5, "weights_ms": 8000, "config_ms": 2000, "drain_ms": 2000, "contact_ms": 3000},
            "shutdown": {"stop_s": 8}}
        return self.start(name, ["target/bin/oriolerill", "relay", "--settings", self.settings(name, sections)])

    def start_agent(self, name, host, ports, engine_port, service, zone, regions, store):
        """ports: load, peers, metrics."""
        sections = {
            "agent": {"id": name, "data_centre": zone, "service": service},
            "fleet": {"regions": ",".join("%s=%s" % item for item in regions.items())},
            "listen": {"peers": "%s:%d" % (host, ports[1]), "metrics": "%s:%d" % (host, ports[2]),
                       "load": "%s:%d" % (host, ports[0])},
            "engine": {"address": "%s:%d" % (host, engine_port)},
            "store": {"address": store},
            "link": {"mbps": 9.4},
            "bounds": {"weights_ms": 8000}}
        return self.start(name, ["target/bin/oriolerill-agent", "--relay", "--settings",
                                 self.settings(name, sections)])

    def kill(self, name, number=signal.SIGKILL):
        self.record("signal   %s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()

    async def listen(self, *listeners):
        for listener in listeners:
            await listener.start()
            self.listeners.append(listener)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("logs in", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)

    def ended(self):
        """Names of processes that ended by themselves."""
        return [name for name, process in self.processes.items() if process.poll() not in (None, -9)]


async def get(host, port, path, timeout=1):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
    try:
        writer.write(("GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path).encode())
        return int((await asyncio.wait_for(reader.readline(), timeout)).split()[1])
    finally:
        writer.close()


async def await_ready(host, port, seconds=20):
    end = now() + seconds
    while now() < end:
        try:
            if await get(host, port, "/-/readyz") == 200:
                return
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("the entry does not become ready")


def main(run, file):
    """Runs a case: 1 when the rule was broken, 0 when it held, 2 when the case could not run."""
    lab = Lab(os.path.dirname(os.path.abspath(file)))

    async def bounded():
        try:
            return await asyncio.wait_for(run(lab), lab.limit_s)
        finally:
            for listener in lab.listeners:
                listener.stop()
            await asyncio.sleep(0.05)

    try:
        broken = asyncio.run(bounded())
        ended = lab.ended()
        if ended:
            lab.record.say("processes that ended by themselves: " + ", ".join(ended))
        code = 1 if broken else 0
    except Exception as error:  # A case that fails in itself has not shown that the rule was broken.
        lab.record.say("could not run: %r" % error)
        code = 2
    finally:
        lab.close()
    lab.record.say({0: "the rule held", 1: "the rule was broken", 2: "could not run"}[code])
    sys.exit(code)
