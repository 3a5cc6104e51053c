"""Stand-ins around a webhook front end: runners over HTTP, a proxy of one connection, and signed senders.

Python's standard library only. Every address is on 127.0.0.1.
"""
import asyncio, base64, hashlib, hmac, json, os, shutil, subprocess, tempfile, time
from fleet import ROOT, Record, end_with_parent, run

PROGRAM = os.path.join(ROOT, "target", "release", "badgerwind")


async def read_head(reader):
    """The first line and the headers of an HTTP message, or None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines if line)}
    return first, headers


class Runner:
    """A runner without a ledger. `on_call(runner, call, writer)` answers each call."""

    def __init__(self, record, id, on_call):
        self.record, self.id, self.on_call, self.name = record, id, on_call, f"runner-{id}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    def entry(self):
        return {"id": self.id, "address": "%s:%d" % self.address[:2], "state": "ready"}

    @staticmethod
    def respond(writer, status, body=b"", headers=()):
        head = [f"HTTP/1.1 {status} OK", f"content-length: {len(body)}", *headers]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = first.split(" ")
                if method == "POST" and path.startswith("/calls/"):
                    call = {"id": headers["webhook-id"], "attempt": headers["badgerwind-attempt"], "body": body}
                    self.record(self.name, "attempt", id=call["id"], attempt=call["attempt"])
                    await self.on_call(self, call, writer)
                elif path.endswith("/load"):
                    self.respond(writer, 200, json.dumps({"copies": json.loads(body)["parameters"]["copies"]}).encode())
                else:
                    self.respond(writer, 200)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            writer.close()


class WebhookFront:
    """A front end of the project that serves signed webhooks, and the project's stand-in for the list service."""

    def __init__(self, record, runners, settings):
        """`settings` is the text of the settings file, with LIST for the address of the list service."""
        self.record, self.runners, self.settings, self.processes = record, runners, settings, []
        self.folder = tempfile.mkdtemp(prefix="badgerwind-review-")

    def path(self, name):
        return os.path.join(self.folder, name)

    def spawn(self, name, *args):
        log = open(self.path(name + ".log"), "a")
        process = subprocess.Popen([PROGRAM, *args], cwd=ROOT, stdout=log, stderr=log, preexec_fn=end_with_parent)
        self.processes.append(process)
        return process

    async def ready_file(self, name, process):
        for _ in range(400):
            if os.path.exists(self.path(name)):
                return json.load(open(self.path(name)))
            if process.poll() is not None:
                return None
            await asyncio.sleep(0.05)

    async def start(self):
        for key in ("portal.key", "runners.key"):
            subprocess.run([PROGRAM, "keys", "new", "--out", self.path(key)], check=True, stdout=subprocess.DEVNULL)
        text = open(self.path("portal.key")).read().strip()
        self.secret = base64.b64decode(text.removeprefix("whsec_"))
        with open(self.path("runners.json"), "w") as f:
            json.dump([runner.entry() for runner in self.runners], f)
        listing = self.spawn("list", "standin", "list", "--spec", self.path("runners.json"), "--ready-file",
                             self.path("list-ready.json"))
        at = await self.ready_file("list-ready.json", listing)
        if not at:
            return False
        with open(self.path("front.xml"), "w") as f:
            f.write(self.settings.replace("LIST", at["address"]))
        return await self.start_front()

    async def start_front(self):
        if os.path.exists(self.path("ready.json")):
            os.remove(self.path("ready.json"))
        self.front = self.spawn("front", "serve", "--settings", self.path("front.xml"), "--ready-file", self.path("ready.json"))
        at = await self.ready_file("ready.json", self.front)
        if not at:
            return False
        host, port = at["webhook"].rsplit(":", 1)
        self.address = (host, int(port))
        host, port = at["metrics"].rsplit(":", 1)
        for _ in range(200):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
                first, _ = await read_head(reader)
                writer.close()
                if " 200 " in first:
                    return True
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        return False

    def message(self, path, id, body, retry=False, deadline_ms=2000):
        """A signed message after the Standard Webhooks specification."""
        at = str(int(time.time()))
        signature = base64.b64encode(hmac.new(self.secret, f"{id}.{at}.".encode() + body, hashlib.sha256).digest()).decode()
        lines = [f"POST {path} HTTP/1.1", "host: front", f"content-length: {len(body)}", f"webhook-id: {id}",
                 f"webhook-timestamp: {at}", f"webhook-signature: v1,{signature}", f"badgerwind-deadline-ms: {deadline_ms}",
                 "connection: close"]
        if retry:
            lines.append("badgerwind-retry: 1")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def post(self, message, address=None, seconds=5):
        """Sends a message over a new connection. Returns the status and whether the answer is whole."""
        reader, writer = await asyncio.open_connection(*(address or self.address))
        try:
            writer.write(message)
            text = await asyncio.wait_for(reader.read(), seconds)
            head, _, body = text.partition(b"\r\n\r\n")
            if not head:
                return None, False, b""
            status = int(head.split(b" ")[1])
            chunked = b"transfer-encoding: chunked" in head.lower()
            return status, (not chunked or body.endswith(b"0\r\n\r\n")), body
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return None, False, b""
        finally:
            writer.close()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class ResettingProxy:
    """Passes connections on to an address, and resets both sides once `after` bytes of the answer have passed."""

    def __init__(self, to, after):
        self.to, self.after = to, after

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        there_reader, there_writer = await asyncio.open_connection(*self.to)

        async def forward():
            while data := await reader.read(65536):
                there_writer.write(data)

        forwarding, passed = asyncio.create_task(forward()), 0
        try:
            while passed < self.after and (data := await there_reader.read(65536)):
                writer.write(data)
                await writer.drain()
                passed += len(data)
        except (ConnectionError, OSError):
            pass
        forwarding.cancel()
        for w in (writer, there_writer):
            w.transport.abort()
