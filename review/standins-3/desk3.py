"""A runner of a plain service: runs each request for a while, records it and answers it with a seal."""

import asyncio
import json
import time

from platform3 import Server, response


class Desk(Server):
    def __init__(self, ip, runner_id, service, zone, work_s=0.03, slots=6):
        super().__init__(ip)
        self.runner_id, self.service, self.zone, self.work_s, self.slots = runner_id, service, zone, work_s, slots
        self.sequence, self.running = 0, 0
        self.runs = []

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "1", "capacity": self.slots, "state": state,
            "coldLeftMs": 0, "sequence": self.sequence}

    async def register(self, store, state="ready"):
        await store.put(f"servers/{self.runner_id}", self.entry(state))

    async def answer(self, request, reader, writer):
        request_id = request.header("x-request-id")
        expected = request.header("x-expect-instance")
        if expected and expected != self.runner_id:
            writer.write(response(421, b"", [("X-Instance-Id", self.runner_id), ("X-Request-Id", request_id)]))
            return True
        if self.running >= self.slots:
            writer.write(response(503, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request_id)]))
            return True
        self.running += 1
        self.runs.append((time.monotonic(), request_id, request))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = json.dumps({"request": request_id, "runner": self.runner_id}).encode()
        answer = response(200, body, [("X-Request-Id", request_id), ("X-Server-Seal", f"seal.{request_id}"),
            ("X-Server-Load", f"{self.running},0,{self.slots}")])
        # An answer to HEAD has the header of the answer to GET and no body.
        writer.write(answer[:-len(body)] if request.method == "HEAD" else answer)
        await writer.drain()
        return True
