"""Stand-ins of model runners and of stores of KV cache, with the figures of a small deployment (Pellham's sheet)."""
import asyncio
import json
import time
import urllib.parse

from standins import Server, json_answer

KV_BYTES = 327_680
RUNNER_LINK_BITS_PER_MS = 310e6
PROMPT_TOKENS_PER_MS = 101.0
RUNNER_TOKENS = 138_177
LOAD_S = 0.29
HEARTBEAT_S = 1.2
MODEL = "rota-llm"


def clock_ms():
    return int(time.monotonic() * 1000)


class CacheStore(Server):
    """A managed store: it drops nothing by itself, and doesn't know who reads from it."""

    def __init__(self, record, name, zone, tokens, first_ms, link_mbps):
        super().__init__()
        self.record = record
        self.name = name
        self.zone = zone
        self.tokens = tokens
        self.first_ms = first_ms
        self.link_mbps = link_mbps
        self.address = ""
        self.epoch = 77_120
        self.parts = {}  # (salt, id): tokens, complete parts only
        self.reserved = {}
        self.events = []
        self.frees = {}  # (salt, id): times at which the part was freed
        self.changed = asyncio.Event()

    def service(self):
        return {"name": self.name, "kvStoreAddr": self.address, "managed": True, "zone": self.zone, "kvTokens": self.tokens,
                "linkMbps": self.link_mbps, "first_ms": self.first_ms, "maxInflight": 12}

    def note(self, sign, key):
        self.events.append([len(self.events) + 1, sign, key[0], key[1], self.parts.get(key, 0), MODEL])
        self.changed.set()
        self.changed = asyncio.Event()

    def reserve(self, key, tokens):
        """Reserves the space of a save. Returns False if the save is lost."""
        used = sum(self.parts.values()) + sum(self.reserved.values())
        if key in self.parts or key in self.reserved or used + tokens > self.tokens:
            return False
        self.reserved[key] = tokens
        return True

    def complete(self, key):
        self.parts[key] = self.reserved.pop(key)
        self.note("+", key)

    async def serve(self, method, target, fields, body, writer):
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if parts.path == "/kv-events":
            since = int(query.get("since", "0"))
            end = time.monotonic() + min(int(fields.get("wait-ms", "0")), 1000) / 1000
            while len(self.events) <= since and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            writer.write(json_answer(200, {"epoch": self.epoch, "nextToken": len(self.events), "lost": False, "events": self.events[since:], "clock_ms": clock_ms()}))
        elif parts.path == "/kv-list":
            held = [[salt, part, tokens, MODEL] for (salt, part), tokens in self.parts.items()]
            writer.write(json_answer(200, {"epoch": self.epoch, "nextToken": len(self.events), "held": held, "partial": [], "clock_ms": clock_ms()}))
        elif parts.path == "/kv-free":
            order = json.loads(body)
            if order.get("epoch", self.epoch) != self.epoch:
                writer.write(json_answer(409, {}))
                return
            freed = [tuple(part) for part in order["parts"] if tuple(part) in self.parts]
            self.record.write(f"{self.name} is told to free {len(order['parts'])} parts, of {sorted({part[0] for part in order['parts']})}")
            for key in freed:
                del self.parts[key]
                self.frees.setdefault(key, []).append(time.monotonic())
                self.note("-", key)
            writer.write(json_answer(200, {}))
        else:
            writer.write(json_answer(404, {}))


class Engine(Server):
    """A model runner."""

    def __init__(self, record, platform, stores, name, service, zone):
        super().__init__()
        self.record = record
        self.platform = platform
        self.stores = stores
        self.name = name
        self.service = service
        self.zone = zone
        self.address = ""
        self.version = 1
        self.sequence = 0
        self.orders = 0
        self.born = int(time.time() * 1000)
        self.is_listed = False
        self.is_loading = False
        self.memory = {}  # (salt, id): tokens, least recently used first
        self.link = asyncio.Lock()
        self.prefill = asyncio.Lock()
        self.running = 0
        self.fetches = []  # what was read from stores for requests that began
        self.loads = 0  # loads that have begun

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "capacity": 64, "state": "ready",
                "coldLeftMs": 0, "sequence": self.sequence, "born": self.born, "stage": "both",
                "models": [{"name": MODEL, "version": self.version, "adapters": []}]}

    async def heartbeat(self):
        self.is_listed = True
        while self.is_listed:
            self.sequence += 1
            self.platform.put("servers/" + self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def leave_unannounced(self):
        """Its entry is removed without a report of draining; it goes on serving for drainMs and a little longer."""
        self.is_listed = False
        self.platform.remove("servers/" + self.name)

    def head(self, fields):
        return (f"X-Request-Id: {fields.get('x-request-id', '')}\r\nX-Server-Seal: seal.{self.name}\r\nX-Instance-Id: {self.name}\r\n"
                f"X-Server-Load: {self.running},0,64\r\nX-Weight-Versions: {self.version}\r\nKeep-Alive: timeout=5\r\n")

    def refuse(self, status, fields, writer):
        writer.write(f"HTTP/1.1 {status} -\r\n{self.head(fields)}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())

    def keep(self, key, tokens):
        self.memory.pop(key, None)
        self.memory[key] = tokens
        while sum(self.memory.values()) > RUNNER_TOKENS:
            self.memory.pop(next(iter(self.memory)))

    def transfer_s(self, store, tokens):
        bits_per_ms = min(RUNNER_LINK_BITS_PER_MS, store.link_mbps * 1e3)
        ms = tokens * KV_BYTES * 8 / bits_per_ms * (1 if store.zone == self.zone else 2)
        return (store.first_ms + ms) / 1000

    async def serve(self, method, target, fields, body, writer):
        path = target.split("?")[0]
        if path == "/report":
            writer.write(json_answer(200, {"stage": "both", "models": [{"name": MODEL, "version": self.version, "adapters": []}], "busy": self.is_loading,
                                           "sequence": self.orders, "waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": RUNNER_TOKENS, "handles": 0,
                                           "born": self.born, "clock_ms": clock_ms()}))
        elif path == "/order":
            self.serve_order(fields, json.loads(body), writer)
        elif path == "/healthz":
            writer.write(f"HTTP/1.1 200 OK\r\n{self.head(fields)}Content-Length: 0\r\n\r\n".encode())
        else:
            await self.serve_prompt(target, fields, writer)

    def serve_order(self, fields, order, writer):
        self.record.write(f"{self.name} gets an order of {order.get('holder')}, fence {order.get('fence')}: version {order.get('version')}")
        if fields.get("x-expect-instance", self.name) != self.name:
            self.refuse(421, fields, writer)
        elif "holder" not in order or "fence" not in order:
            writer.write(json_answer(400, {}))
        elif self.is_loading:
            writer.write(json_answer(409, {}))
        elif order["version"] == self.version:
            writer.write(json_answer(200, {}))
        elif order.get("expected", self.orders) != self.orders:
            writer.write(json_answer(409, {}))
        else:
            self.orders += 1
            self.loads += 1
            self.is_loading = True
            asyncio.get_running_loop().call_later(LOAD_S, self.load, order["version"])
            writer.write(json_answer(202, {}))

    def load(self, version):
        self.version = version
        self.memory.clear()
        self.is_loading = False
        self.record.write(f"{self.name} has version {version}")

    async def fetch(self, store, key, tokens, until, request, fetched):
        """Copies a part from a store. Returns whether it was there in time."""
        async with self.link:
            if store is None or key not in store.parts:
                await asyncio.sleep(0.001)
                return False
            start = time.monotonic()
            await asyncio.sleep(self.transfer_s(store, tokens))
            end = time.monotonic()
        if until is not None and clock_ms() > until:
            return False
        fetched.append({"request": request, "store": store, "key": key, "start": start, "end": end})
        return True

    async def save(self, store, key, tokens):
        if not store.reserve(key, tokens):
            return
        async with self.link:
            await asyncio.sleep(self.transfer_s(store, tokens))
        store.complete(key)

    async def serve_prompt(self, target, fields, writer):
        request = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            return self.refuse(421, fields, writer)
        if fields.get("x-expect-version", str(self.version)) != str(self.version):
            return self.refuse(421, fields, writer)
        if self.is_loading:
            return self.refuse(503, fields, writer)
        self.running += 1
        loads, fetched = self.loads, []
        try:
            salt = fields.get("x-cache-salt", "")
            parts = [entry.split(":") for entry in fields.get("x-prompt-prefix", "").split(",") if entry]
            sources = [entry.split("/")[0] for entry in fields.get("x-kv-fetch", "").split(",")]
            targets = fields.get("x-kv-save", "").split(",")
            until = int(fields["x-kv-until"]) if "x-kv-until" in fields else None
            self.record.write(f"{self.name} (version {self.version}) gets {request}: salt {salt}, fetch {fields.get('x-kv-fetch', 'none')}")
            to_read = max(int(fields.get("x-token-count", "0").split(",")[0]) - sum(int(tokens) for _, tokens in parts), 0)
            is_whole = True
            for i, (part, tokens) in enumerate(parts):
                key = (salt, part)
                if is_whole and key in self.memory:
                    continue
                store = self.stores.get(sources[i] if i < len(sources) else "-")
                is_whole = is_whole and store is not None and await self.fetch(store, key, int(tokens), until, request, fetched)
                if not is_whole:
                    to_read += int(tokens)
            async with self.prefill:
                await asyncio.sleep(to_read / PROMPT_TOKENS_PER_MS / 1000)
            if self.loads != loads:
                return self.refuse(503, fields, writer)  # It had not started when the order came, as it has no token yet.
            self.fetches += fetched
            for i, (part, tokens) in enumerate(parts):
                self.keep((salt, part), int(tokens))
                store = self.stores.get(targets[i] if i < len(targets) else "-")
                if store is not None:
                    task = asyncio.ensure_future(self.save(store, (salt, part), int(tokens)))
                    self.tasks.add(task)
            await self.stream(fields, writer)
        finally:
            self.running -= 1

    async def stream(self, fields, writer):
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{self.head(fields)}Transfer-Encoding: chunked\r\n\r\n".encode())
        for i in range(1, 6):
            event = f"id: {i}\ndata: token {i} of {self.name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
