"""Stand-ins of the platform, model runners, stores of KV cache and clients for the scripts of review 2.

Everything runs in one asyncio loop on loopback addresses; only the gateways are processes of their own. The stand-ins speak what
PROTOCOL.md says and behave as sound servers where it says nothing.
"""
import asyncio
import base64
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
import urllib.parse

REPOSITORY = os.path.normpath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "bin", "chiveshelfd")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """record.txt in the folder of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()

    def result(self, text):
        self.write(text)
        print(text, flush=True)


def free_ports(host, n):
    """Returns n ports that are free on host."""
    sockets = []
    for _ in range(n):
        s = socket.socket()
        s.bind((host, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return method, target, fields, body


async def read_answer(reader):
    """Returns the status, the fields, the body and whether the answer is complete."""
    first, fields = await read_head(reader)
    status = int(first.split(" ")[1])
    body = b""
    try:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).split(b";")[0].strip() or b"0", 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += piece[:-2]
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return status, fields, body, False
    return status, fields, body, True


def json_answer(status, value):
    body = json.dumps(value).encode()
    return f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Server:
    """Accepts connections and answers one request after the other on each."""

    def __init__(self):
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.connected, host, port, limit=1 << 23)

    async def connected(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                method, target, fields, body = await read_request(reader)
                await self.serve(method, target, fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
        self.reset_connections()
        for task in list(self.tasks):
            task.cancel()


class PlatformStore:
    """The platform's metadata store: one state, and an address of its own for each machine, so that it can turn single machines away."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.doors = []

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        created = self.items[key]["createRevision"] if key in self.items else revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": revision, "createRevision": created, "lease": lease}
        self.items[key] = item
        self.note(dict(item))

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self.note({"key": key, "rev": revision, "removed": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if end < now:
                self.end_lease(lease)

    async def answer(self, path, query, body):
        self.expire()
        if path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, storeRevision=self.revision)) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("pathPrefix", "")) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "hasMore": len(keys) > 500, "storeRevision": self.revision}
        if path == "/kv-watch":
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                self.expire()
                events = [e for e in self.history if e["rev"] > int(query["after"]) and e["key"].startswith(query.get("pathPrefix", ""))]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), min(0.2, left))
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-txn":
            change = json.loads(body)
            failed = [row for row in change["expected"] if self.items.get(row["key"], {}).get("rev", 0) != row["rev"]]
            if failed:
                return 412, {"items": [self.items[row["key"]] for row in change["expected"] if row["key"] in self.items]}
            if any(row.get("lease") and row["lease"] not in self.leases for row in change["setKeys"]):
                return 404, {}
            self.revision += 1
            revision = self.revision
            for row in change["setKeys"]:
                self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0), revision)
            for key in change["remove"]:
                self.remove(key, revision)
            return 200, {"rev": revision}
        if path == "/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.last_lease += 1
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.last_lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[-1]) if path.rsplit("/", 1)[-1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def open_door(self, host):
        """Returns an address at which one machine reaches the store."""
        door = StoreDoor(self)
        port = free_ports(host, 1)[0]
        await door.listen(host, port)
        door.address = f"{host}:{port}"
        self.doors.append(door)
        return door

    def stop(self):
        for door in self.doors:
            door.stop()


class StoreDoor(Server):
    def __init__(self, store):
        super().__init__()
        self.store = store
        self.address = ""
        # Whether the store turns this machine away: 503, nothing done.
        self.is_shut = False

    def shut(self):
        self.is_shut = True
        self.reset_connections()  # A watch that waits may be cut.

    async def serve(self, method, target, fields, body, writer):
        if self.is_shut:
            writer.write(json_answer(503, {}))
            return
        parts = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}
        status, value = await self.store.answer(parts.path, query, body)
        await asyncio.sleep(0.004)
        if not self.is_shut:
            writer.write(json_answer(status, value))
        else:
            writer.transport.abort()


class Gateway:
    """A gateway process, started as deploy/system.toml says."""

    def __init__(self, folder, number, zone, store_address, contacts, peer_port, network, is_first=True):
        self.name = f"front-{zone}-{number}"
        self.ip = f"{network}.{10 + number}"
        self.front, self.ready = free_ports(self.ip, 2)
        self.log_path = os.path.join(folder, self.name + ".log")
        self.process = None
        self.arguments = [
            "gateway", f"--host-name={self.name}", f"--data-centre={zone}", f"--listen={self.ip}:{self.front}",
            f"--admin-listen={self.ip}:{self.ready}", f"--peer-listen={self.ip}:{peer_port}", f"--contacts={contacts}",
            f"--store={store_address}", "--stop-limit-s=8", "--order-gap-ms=3000", "--version-limit-ms=6000", "--runner-renew-ms=1200",
            "--retry-share=0.2", "--retry-reserve=54", "--retry-window-s=10", f"--first-start={'true' if is_first else 'false'}",
            "--most-descriptors=4100", "--link-mbps=1000.0", "--cpu-share=0.25", "--memory-mb=260", "--learn-capacity=",
            "--share-failures=", "--cold-over=", "--cold-slack=", "--without=wide-notices", "--log-level=info"]

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([PROGRAM] + self.arguments, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    async def await_ready(self, limit=15):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """The stand-ins and gateways of one script."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.network = f"127.{random.randrange(64, 240)}.{random.randrange(1, 250)}"
        self.peer_port = free_ports(f"{self.network}.11", 1)[0]
        self.store = PlatformStore(self.record)
        self.gateways = []
        self.servers = []

    async def add_gateway(self, zone):
        number = len(self.gateways) + 1
        door = await self.store.open_door(f"{self.network}.1")
        contacts = ",".join(f"{self.network}.{11 + i}:{self.peer_port}" for i in range(3))
        gateway = Gateway(self.folder, number, zone, door.address, contacts, self.peer_port, self.network)
        gateway.door = door
        self.gateways.append(gateway)
        return gateway

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        self.store.stop()
        for server in self.servers:
            server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(record_path, play, limit=115):
    """Runs `await play(world)`, which returns HELD, BROKEN or NOT_RUN, and exits with its result."""

    async def main():
        world = World(record_path)
        try:
            return await asyncio.wait_for(play(world), limit)
        except (asyncio.TimeoutError, OSError) as error:
            world.record.result(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            world.end()

    if not os.access(PROGRAM, os.X_OK):
        print("could not run: there is no build of the deploy file")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    result = NOT_RUN
    try:
        result = loop.run_until_complete(main())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
    sys.exit(result)
