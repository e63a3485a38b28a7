"""Starts chiveshelf with fakes of the external systems on loopback, demonstrates its main functions and stops all processes."""

import argparse
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

BINARIES = pathlib.Path(__file__).resolve().parent.parent / "build" / "bin"
LOOPBACK = "127.0.0.1"
DATA_CENTRES = ("hartford", "providence")
HOSTS_PER_DATA_CENTRE = 2
RUNNERS_PER_DATA_CENTRE = 2
START_LIMIT_S = 10
# Must exceed the 2 s for which a host still accepts callers after SIGTERM.
STOP_LIMIT_S = 5
# Time in which the blocks of an answer are exported to a store.
EXPORT_PAUSE_S = 1
MODEL = "rota-model"
SHARED_PROMPT = "Staff handbook of the museum. " * 2000


class Demo:
    """Holds the processes and the addresses of a demonstration."""

    def __init__(self, base_port):
        self.next_port = base_port
        self.processes = {}
        self.hosts = {}
        self.backends = {}
        self.folder = tempfile.TemporaryDirectory(prefix="chiveshelf-demo-")

    def address(self):
        """Returns a loopback address with the next port."""
        port = self.next_port
        self.next_port += 1
        return f"{LOOPBACK}:{port}"

    def start(self, name, binary, *arguments):
        """Starts a process that writes its log to the temporary folder."""
        with open(pathlib.Path(self.folder.name) / f"{name}.log", "wb") as log:
            self.processes[name] = subprocess.Popen([BINARIES / binary, *arguments], stdout=log, stderr=log)

    def start_all(self):
        """Starts the fakes and the entry hosts, and applies the tables."""
        self.platform = self.address()
        self.start("platform", "fake_key_value", "--listen", self.platform)
        for data_centre in DATA_CENTRES:
            for n in range(1, RUNNERS_PER_DATA_CENTRE + 1):
                self.start_backend(f"runner-{data_centre}-{n}", data_centre, "fake_runner")
        for data_centre in DATA_CENTRES:
            self.start_backend(f"store-{data_centre}", data_centre, "fake_store")
        self.start_backend("bookings-1", DATA_CENTRES[0], "fake_service")
        for data_centre in DATA_CENTRES:
            for n in range(1, HOSTS_PER_DATA_CENTRE + 1):
                self.start_host(f"{data_centre}-{n}", data_centre)
        wait_for(lambda: all(get(b["address"], "/control/ready") for b in self.backends.values()), "the stand-ins")
        wait_for(lambda: get(self.platform, "/hosts"), "the platform")
        hosts = [
            {"name": name, "address": h["peer"], "admin_address": h["admin"], "data_centre": h["data_centre"], "leaving": False}
            for name, h in self.hosts.items()
        ]
        request(self.platform, "PUT", "/control/hosts", json.dumps(hosts))
        self.write_tables()
        self.ctl("apply", str(self.tables_path()))
        wait_for(lambda: self.in_force(1), "revision 1 on every host")

    def start_backend(self, name, data_centre, binary):
        address = self.address()
        self.backends[name] = {"name": name, "address": address, "data_centre": data_centre, "binary": binary}
        self.start(name, binary, "--listen", address)

    def start_host(self, name, data_centre):
        host = {"caller": self.address(), "admin": self.address(), "peer": self.address(), "data_centre": data_centre}
        self.hosts[name] = host
        self.start(
            name, "chiveshelfd", "--host-name", name, "--data-centre", data_centre, "--listen", host["caller"],
            "--admin-listen", host["admin"], "--peer-listen", host["peer"], "--platform", self.platform,
        )  # fmt: skip

    def tables_path(self):
        return pathlib.Path(self.folder.name) / "tables.json"

    def write_tables(self):
        """Writes the tables file with a pool of runners and a pool of plain services."""

        def rows(binary):
            wanted = [b for b in self.backends.values() if b["binary"] == binary]
            return [{key: b[key] for key in ("name", "address", "data_centre")} for b in wanted]

        tables = {
            "routes": [
                {"name": "rota", "organisation": "*", "model": MODEL, "pool": "rota-models", "priority": "urgent"},
                {"name": "bookings", "organisation": "*", "path": "/bookings", "pool": "bookings"},
            ],
            "pools": [
                {
                    "name": "rota-models", "kind": "model", "model": MODEL, "version": "v1", "runners": rows("fake_runner"),
                    "stores": rows("fake_store"),
                    "targets_ms": {"urgent": 5000, "standard": 10000, "batch": 30000},
                },
                {"name": "bookings", "kind": "service", "runners": rows("fake_service")},
            ],
        }  # fmt: skip
        self.tables_path().write_text(json.dumps(tables, indent=2), encoding="utf-8")

    def ctl(self, *arguments):
        """Runs chivesctl and returns its stdout."""
        command = [BINARIES / "chivesctl", *arguments, "--platform", self.platform]
        return subprocess.run(command, check=True, capture_output=True, text=True).stdout

    def in_force(self, revision):
        """Returns True if all running hosts have at least this revision of the tables."""
        states = [get(h["admin"], "/state") for name, h in self.hosts.items() if name in self.processes]
        return all(s and json.loads(s)["tables_revision"] >= revision for s in states)

    def stop_all(self):
        """Terminates all processes and deletes the temporary folder."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.folder.cleanup()


def request(address, method, path, body=None, headers=None):
    """Sends a request. Returns the status, headers and body, or None if the connection fails."""
    ip, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    except OSError:
        return None
    finally:
        connection.close()


def get(address, path):
    """Returns the response body, whatever the status, or None if the connection fails."""
    answer = request(address, "GET", path)
    return answer[2] if answer else None


def wait_for(condition, description):
    """Polls a condition until it is true; exits after START_LIMIT_S."""
    deadline = time.monotonic() + START_LIMIT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise SystemExit(f"demo: timed out waiting for {description}")


def complete(host, prompt, organisation="gallery-one"):
    """Streams a completion. Returns its text, its usage and the time to the first token in ms."""
    ip, port = host["caller"].rsplit(":", 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=30)
    body = json.dumps({"model": MODEL, "prompt": prompt, "max_tokens": 12, "stream": True})
    start = time.monotonic()
    connection.request("POST", "/v1/completions", body, {"X-Organisation": organisation})
    response = connection.getresponse()
    text, usage, first = "", {}, None
    for line in response:
        if not line.startswith(b"data: ") or line.startswith(b"data: [DONE]"):
            continue
        event = json.loads(line[6:])
        if "error" in event:
            raise SystemExit(f"demo: request failed: {event['error']}")
        first = first or (time.monotonic() - start) * 1000
        text += event["choices"][0]["text"]
        usage = event.get("usage", usage)
    connection.close()
    if response.status != 200:
        raise SystemExit(f"demo: request refused with {response.status}")
    return text, usage, first


def show_returning_prompts(demo):
    print("\n1. A conversation returns, each time to another host, from the third time on to another data centre:")
    prompt = SHARED_PROMPT
    for turn, (name, host) in enumerate(demo.hosts.items(), 1):
        text, usage, first = complete(host, prompt)
        details = usage["prompt_tokens_details"]
        print(
            f"   turn {turn} at {name}: first token after {first:.0f} ms, {usage['prompt_tokens']} prompt tokens, "
            f"{details['cached_tokens']} from the runner's cache, {details['imported_tokens']} from a store"
        )
        time.sleep(EXPORT_PAUSE_S)
        prompt += text + f"\nquestion {turn}: who covers Saturday?\n"


def show_idempotent_call(demo):
    print("\n2. A booking with an Idempotency-Key, sent twice to different hosts:")
    headers = {"X-Organisation": "gallery-one", "Idempotency-Key": "booking-17", "X-Operation": "booking-17"}
    for name in (f"{DATA_CENTRES[0]}-1", f"{DATA_CENTRES[1]}-1"):
        status, _, body = request(demo.hosts[name]["caller"], "POST", "/bookings/17", '{"guard":"Ruth"}', headers)
        print(f"   {name}: status {status}, the service's own count is {json.loads(body)['runs']}")


def show_table_edit(demo):
    print("\n3. An operator edits a table:")
    tables = json.loads(demo.tables_path().read_text(encoding="utf-8"))
    tables["routes"][0]["weight"] = 5
    demo.tables_path().write_text(json.dumps(tables), encoding="utf-8")
    applied = demo.ctl("apply", str(demo.tables_path())).split()
    print(f"   chivesctl apply: {' '.join(applied)}")
    print("   chivesctl wait:", demo.ctl("wait", "2").strip())


def show_host_kill(demo):
    killed_host = f"{DATA_CENTRES[0]}-1"
    print(f"\n4. Entry host {killed_host} is killed; the other host of its data centre goes on:")
    process = demo.processes.pop(killed_host)
    process.kill()
    process.wait()
    _, usage, first = complete(demo.hosts[f"{DATA_CENTRES[0]}-2"], SHARED_PROMPT)
    print(f"   answered, first token after {first:.0f} ms, {usage['completion_tokens']} tokens")


def serve(demo):
    """Prints all addresses as a JSON line and waits for a signal."""
    print(json.dumps({"hosts": demo.hosts, "platform": demo.platform, "backends": demo.backends}), flush=True)
    while True:
        signal.pause()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", action="store_true", help="leave the system running until interrupted")
    parser.add_argument("--base-port", type=int, default=18000, help="first loopback port that is used")
    arguments = parser.parse_args()
    # stop_all() runs on both signals. SIGTERM is needed because a shell starts background jobs with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: sys.exit(0))
    demo = Demo(arguments.base_port)
    try:
        demo.start_all()
        if arguments.serve:
            serve(demo)
            return
        print(f"{len(demo.hosts)} entry hosts in {len(DATA_CENTRES)} data centres, {len(demo.backends)} backends")
        show_returning_prompts(demo)
        show_idempotent_call(demo)
        show_table_edit(demo)
        show_host_kill(demo)
    finally:
        demo.stop_all()
    print("\nAll processes stopped.")


if __name__ == "__main__":
    sys.exit(main())
