"""Stand-ins of the users' platform for the scripts of this review: the store, runners, clients and the start of the gateways.

They speak what PROTOCOL.md says, over loopback addresses, and behave soundly unless a script asks for a disruption.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
REASONS = {200: "OK", 202: "Accepted", 403: "Forbidden", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 503: "Service Unavailable"}


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        split = urllib.parse.urlsplit(target)
        self.path = split.path
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(split.query, keep_blank_values=True).items()}

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, document):
    return response(status, json.dumps(document).encode(), [("Content-Type", "application/json")])


class Server:
    """An HTTP/1.1 server with kept connections. Subclasses write `answer()`."""

    def __init__(self, ip):
        self.ip, self.port = ip, 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=8 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, reader, writer):
        raise NotImplementedError

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, ip):
        super().__init__(ip)
        self.items, self.history, self.leases = {}, [], {}
        self.revision, self.last_lease = 1, 70000
        self.changed = asyncio.Condition()
        self.calls = []

    async def start(self):
        await super().start()
        self.sweeper = asyncio.create_task(self.sweep())

    async def sweep(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            await self.apply({}, keys)

    async def apply(self, writes, removals):
        """Writes {key: (bytes, lease)} and removes keys under one revision."""
        async with self.changed:
            self.revision += 1
            for key, (value, lease) in writes.items():
                created = self.items[key]["createRevision"] if key in self.items else self.revision
                item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision, "createRevision": created, "lease": lease}
                self.items[key] = item
                self.history.append(item)
            for key in removals:
                if self.items.pop(key, None):
                    self.history.append({"key": key, "rev": self.revision, "removed": True})
            self.changed.notify_all()
        return self.revision

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.apply({key: (data, 0)}, [])

    async def remove(self, key):
        return await self.apply({}, [key])

    def value(self, key):
        return base64.b64decode(self.items[key]["value"]) if key in self.items else None

    async def answer(self, request, reader, writer):
        out = await self.handle(request)
        writer.write(out)
        await writer.drain()
        return True

    async def handle(self, request):
        path, query = request.path, request.query
        self.calls.append((time.monotonic(), request.method, path))
        if path == "/kv-key":
            item = self.items.get(query.get("key"))
            return json_response(200, {**item, "storeRevision": self.revision}) if item else json_response(404, {})
        if path == "/kv-range":
            return self.page(query.get("pathPrefix", ""), query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(query.get("pathPrefix", ""), int(query["after"]), int(query["waitMs"]))
        if path == "/kv-lease" and request.method == "POST":
            ttl = json.loads(request.body)["ttlMs"]
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return json_response(200, {"lease": self.last_lease, "ttlMs": ttl})
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return json_response(404, {})
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return json_response(200, {"ttlMs": ttl})
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return json_response(200, {})
        if path == "/kv-txn":
            return await self.txn(json.loads(request.body))
        return json_response(404, {})

    def page(self, prefix, after):
        items, size, more = [], 0, False
        for key in sorted(k for k in self.items if k.startswith(prefix) and k > after):
            if len(items) >= 500 or (items and size + len(self.items[key]["value"]) > 1_000_000):
                more = True
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"])
        return json_response(200, {"items": items, "hasMore": more, "storeRevision": self.revision})

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                events = [e for e in self.history if e["rev"] > after and e["key"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            return json_response(200, {"events": events, "storeRevision": self.revision})

    async def txn(self, body):
        failed = [row for row in body.get("expected", []) if self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"]]
        if failed:
            return json_response(412, {"items": [self.items[row["key"]] for row in body["expected"] if row["key"] in self.items]})
        writes = {row["key"]: (base64.b64decode(row["value"]), row.get("lease", 0)) for row in body.get("setKeys", [])}
        if any(key.startswith(("op/", "servers/")) for key in list(writes) + body.get("remove", [])):
            return json_response(403, {})
        if any(lease and lease not in self.leases for _, lease in writes.values()):
            return json_response(404, {})
        return json_response(200, {"rev": await self.apply(writes, body.get("remove", []))})


class Gateway:
    """A process of the role 'gateway', started with the command of deploy/system.toml."""

    def __init__(self, name, zone, ip, store, seeds, memory_mb, folder, between):
        self.name, self.ip = name, ip
        self.front, self.ready = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
        self.settings = {
            "node": name, "zone": zone, "ip": ip, "listen.front": self.front, "listen.ready": self.ready, "portRange.0": str(between),
            "seeds": ",".join(seeds), "platform.address": store.address, "contractParams.graceS": "8", "contractParams.leaseMs": "3000",
            "contractParams.versionMs": "6000", "heartbeatMs": "1200", "contractParams.budgetRatio": "0.2", "contractParams.budgetSlack": "54",
            "contractParams.budgetWindowS": "10", "bootstrap": "true", "limits.maxFds": "4100", "limits.linkMbps": "1000.0", "limits.cpuShare": "0.25",
            "limits.memoryMb": str(memory_mb),
        }
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def command(self):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            run = tomllib.load(file)["roles"]["gateway"]["run"]
        # Sections stand for settings that the small deployments lack.
        run = re.sub(r"\{\{#([^}]*)\}\}.*?\{\{/\1\}\}", "", run)
        run = re.sub(r"\{\{([^}]*)\}\}", lambda match: self.settings.get(match.group(1), ""), run)
        return run.split(" ")

    async def start(self):
        words = self.command()
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(str(ROOT / words[0]), *words[1:], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": "/tmp", "LANG": "C"})

    async def is_ready(self):
        try:
            answer = await call(self.ready, b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1)
            return answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def await_ready(self, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Answer:
    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers, self.body, self.is_complete = status, headers, body, is_complete


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((name.strip().lower(), value.strip()) for name, value in (line.split(":", 1) for line in lines[1:] if line))
    status = int(lines[0].split(" ")[1])
    body, is_complete = b"", True
    try:
        if headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        is_complete = False
    return Answer(status, headers, body, is_complete)


async def call(address, data, limit):
    """Sends bytes on a new connection and reads one answer."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
    try:
        writer.write(data)
        return await asyncio.wait_for(read_answer(reader), limit)
    finally:
        writer.close()


def temporary_folder():
    return tempfile.mkdtemp(prefix="review-3-")
