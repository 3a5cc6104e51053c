"""Stand-ins for the platform: notice board, executors, web servers (FastCGI), and the front end's process.

Python's standard library only. Every address is on 127.0.0.1. Times are Unix seconds (time.time()).
"""
import asyncio, base64, ctypes, json, os, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time, traceback

_HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(_HERE))


_libc = ctypes.CDLL(None)


def run(main, seconds=115):
    """Runs a case and exits with its code. Whatever goes wrong in the script itself ends with 2: an error of its own, a
    signal, or no end within the time. The script's processes are ended first; if it is killed they go with it."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(2))
    signal.alarm(seconds)
    code = 2
    try:
        code = asyncio.run(main())
    except BaseException:
        traceback.print_exc()
    sys.exit(code)


def end_with_parent():
    """Runs in each started process: it is killed when the script ends (prctl, PR_SET_PDEATHSIG)."""
    _libc.prctl(1, signal.SIGKILL)


class Record:
    """`record.txt`: a line for everything that was sent, answered and run."""

    def __init__(self, path):
        self.file, self.start, self.lock = open(path, "w"), time.time(), threading.Lock()

    def __call__(self, who, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            self.file.write(f"{time.time() - self.start:9.4f} {who} {what} {text}\n")
            self.file.flush()


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


# ---- FastCGI ----

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def fcgi_record(kind, number, content=b""):
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def fcgi_pair(name, value):
    name, value = name.encode(), str(value).encode()
    length = lambda n: bytes([n]) if n < 128 else struct.pack(">I", n | 0x80000000)
    return length(len(name)) + length(len(value)) + name + value


def fcgi_request(number, id, cls, key, wait_ms, body=b"", owner="acme", attrs="memory_mb:512;lanes:4;load_ms:100",
                 retry=False, extra=()):
    params = {"SCRIPT_NAME": f"/api/v2/{cls}", "HTTP_REQ_ID": id, "HTTP_REQ_WAIT_MS": wait_ms,
              "HTTP_REQ_OWNER": owner, "HTTP_REQ_KEY": key, "HTTP_X_ATTRS": attrs}
    if retry:
        params["HTTP_REQ_RETRY"] = 1
    params.update(extra)
    pairs = b"".join(fcgi_pair(n, v) for n, v in params.items())
    out = fcgi_record(BEGIN, number, b"\0\x01\x01\0\0\0\0\0") + fcgi_record(PARAMS, number, pairs)
    out += fcgi_record(PARAMS, number)
    if body:
        out += fcgi_record(STDIN, number, body)
    return out + fcgi_record(STDIN, number)


def fcgi_health(number):
    out = fcgi_record(BEGIN, number, b"\0\x01\x01\0\0\0\0\0")
    return (out + fcgi_record(PARAMS, number, fcgi_pair("SCRIPT_NAME", "/-/healthy")) + fcgi_record(PARAMS, number)
            + fcgi_record(STDIN, number))


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


class Web:
    """A web server's connection. `answers` maps the numbers of open requests to futures."""

    def __init__(self):
        self.open, self.closed, self.text = {}, False, {}

    @classmethod
    async def connect(cls, address):
        self = cls()
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.task = asyncio.create_task(self.read())
        self.last = 0
        return self

    async def read(self):
        try:
            while True:
                _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", await self.reader.readexactly(8))
                content = (await self.reader.readexactly(length + padding))[:length]
                if kind == STDOUT:
                    self.text[number] = self.text.get(number, b"") + content
                elif kind == END:
                    head, _, body = self.text.pop(number, b"").partition(b"\r\n\r\n")
                    headers = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
                    status = int(headers.get("Status", "0").split()[0])
                    if content[4] == 2:
                        status = 503  # the protocol status OVERLOADED
                    waiting = self.open.pop(number, None)
                    if waiting and not waiting.done():
                        waiting.set_result(Answer(status, headers, body))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.closed = True
        for waiting in self.open.values():
            if not waiting.done():
                waiting.set_result(None)  # the connection ended without a whole answer
        self.open.clear()

    def number(self):
        while True:
            self.last = self.last % 30000 + 1
            if self.last not in self.open:
                return self.last

    def send(self, **fields):
        number = self.number()
        future = asyncio.get_running_loop().create_future()
        self.open[number] = future
        self.writer.write(fcgi_request(number, **fields))
        return number, future

    def abort(self, number):
        self.open.pop(number, None)
        self.writer.write(fcgi_record(ABORT, number))

    def close(self):
        self.writer.close()


# ---- The notice board ----

class Board:
    """Sends all events after the one that a front end names, and an empty frame each second."""

    def __init__(self, record, events):
        self.record, self.events, self.writers, self.silent = record, list(events), [], False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()
        return self

    @staticmethod
    def frame(number, kind, payload=b""):
        return struct.pack(">IQB", 9 + len(payload), number, kind) + payload

    @staticmethod
    def entry(id, address, state, started_ms=0, zone=0, kind=0, cell=0, weight=4000):
        ip = int.from_bytes(socket.inet_aton(address[0]), "big")
        return struct.pack(">IIHBBBHIQ", id, ip, address[1], state, zone, kind, cell, weight, started_ms)

    def publish(self, entries, whole=False):
        number = len(self.events) + 1
        self.events.append((number, 1 if whole else 2, b"".join(entries)))
        self.record("board", "event", number=number)
        if not self.silent:
            for w in self.writers:
                w.write(self.frame(*self.events[-1]))

    async def serve(self, reader, writer):
        try:
            last = struct.unpack(">Q", await reader.readexactly(8))[0]
            for event in self.events[last:]:
                writer.write(self.frame(*event))
            self.writers.append(writer)
            while True:
                if not self.silent:
                    writer.write(self.frame(len(self.events), 0))
                    await writer.drain()
                await asyncio.sleep(1)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()


# ---- Executors ----

class Executor:
    """An executor. `on_call(executor, request, reply)` is called for each attempt; the default serves it."""

    def __init__(self, record, id, on_call=None, work=0.02):
        self.record, self.id, self.on_call, self.work = record, id, on_call, work
        self.name, self.open, self.draining, self.connections = f"s-{id:08x}", {}, False, 0
        self.loaded, self.probe_delay, self.ran = set(), 0.0, 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()
        return self

    async def serve(self, reader, writer):
        tasks = {}
        self.connections += 1

        def reply(word, req, meta=None, data=b""):
            line = {"type": word, "req": req}
            if meta is not None:
                line["meta"] = meta
            if data:
                line["data"] = base64.b64encode(data).decode()
            if not writer.is_closing():
                writer.write(json.dumps(line).encode() + b"\n")

        try:
            while True:
                text = await reader.readline()
                if not text.endswith(b"\n"):
                    break
                try:
                    line = json.loads(text)
                    kind, req = line["type"], str(line["req"])
                except (ValueError, KeyError):
                    break
                meta = line.get("meta") or {}
                if kind == "FN":
                    body = base64.b64decode(line.get("data", ""))
                    self.record(self.name, "attempt", req=req, kind=meta.get("kind"), obj=meta.get("obj"), ms=meta.get("ms"))
                    call = {"req": req, "meta": meta, "body": body, "at": time.time()}
                    tasks[req] = asyncio.create_task(self.run(call, reply, writer))
                    tasks[req].add_done_callback(lambda _, r=req, t=tasks: t.pop(r, None))
                elif kind == "KILL":
                    self.record(self.name, "given-up", req=req)
                    if req in tasks:
                        tasks[req].cancel()
                elif kind in ("HELO", "TOP"):
                    asyncio.create_task(self.probe(req, reply))
                elif kind == "SPAWN":
                    wanted = int(meta.get("slots_up", 0))
                    self.record(self.name, "order", req=req, obj=meta.get("obj"), copies=wanted)
                    if wanted:
                        self.loaded.add(meta["obj"])
                    word = "SHED" if self.draining else "HIT"
                    reply(word, req, {"slots_up": wanted or int(meta.get("obj") in self.loaded)})
                elif kind == "REAP":
                    self.loaded.discard(req)
        except (asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.connections -= 1
            for task in list(tasks.values()):
                task.cancel()
            writer.close()

    async def probe(self, req, reply):
        await asyncio.sleep(self.probe_delay)
        reply("SICK" if self.draining else "PONG", req)

    async def run(self, call, reply, writer):
        if self.on_call:
            await self.on_call(self, call, reply, writer)
            return
        await asyncio.sleep(self.work)
        self.serve_call(call, reply)

    def serve_call(self, call, reply):
        self.ran += 1
        note = "w" if call["meta"]["obj"] in self.loaded else "c"
        self.loaded.add(call["meta"]["obj"])
        self.record(self.name, "ran", req=call["req"])
        reply("HIT", call["req"], {"res": note}, b"done " + call["body"])


# ---- The front end ----

def wattlebank(classes, **changes):
    """Settings with the figures of the wire page's example, of a small deployment."""
    settings = {
        "allowed": {"connectTimeout": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 50000, "idleClose": 30000000,
                    "maxAttempts": 4, "maxRetryAfter": 2000000, "mayCancel": True, "mayDuplicate": False,
                    "mayProbe": True, "mostHeld": 20000, "peers": False, "retryAfter": True, "streamsPerConn": 100},
        "charges": {"connection": 0.0, "crossZone": 0.02, "discovery": 0.0, "handshake": 0.0, "lateFail": 0.03,
                    "moves": 0.0, "origin": 0.1, "peer": 0.01, "probe": 0.01, "waste": 0.03},
        "classes": classes, "clients": {"marksRetry": True}, "discovery": "push",
        "failureDomains": ["hall-a"], "kindOfService": "warm", "kinds": ["type-a"], "myNumber": 0, "myZone": 0,
        "orgs": [{"name": "acme", "portion": 1.0, "quotaPerS": 1000.0}], "overShareWorth": 0.05, "peersTotal": 1,
        "report": {"fields": [], "how": "none"}, "round": 2000,
        "rules": {"answerSlack": 8000, "askWithin": 10000000, "coldFrom": 0.16, "fall": 1500000,
                  "stopSendingWithin": 500000, "tipMultiple": 2.5, "warmAfter": 18000000},
        "specifics": {"freeLoads": 0.0, "idlePrice": 0.05, "loadsPerRequest": 0.0, "loadsWithin": 0, "marksCold": True,
                      "memoryMbByKind": [12864.0], "orderLimit": 10000000, "placementCalls": True,
                      "staysLoaded": 8400000, "tellsCrowd": True, "whenAbsent": "load"},
        "tier": 0, "tiers": ["handler-fleet"], "weights": "nominal", "worthBy": "request"}
    for path, value in changes.items():
        part, _, name = path.partition("__")
        if name:
            settings[part][name] = value
        else:
            settings[part] = value
    return settings


def a_class(name, effect="repeatable", aim=1200000, limit=3000000, window=5000000, group="all", worth=3.0):
    return {"aim": aim, "effect": effect, "group": group, "hardLimit": limit, "lateWorth": 0.2, "name": name,
            "streaming": False, "window": window, "worth": worth}


def member(executor, phase="in_service", up_since_ms=0):
    return {"id": executor.name, "host_port": "%s:%d" % executor.address[:2], "locality": "hall-a", "flavor": "type-a",
            "cell": 0, "phase": phase, "size": 4, "up_since_ms": up_since_ms}


class FrontEnd:
    """The project's front end, started with the run line of the deploy file."""

    def __init__(self, record, board, members, settings, name="n0", memory_mb=64, sockets=256, listen=None):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="badgerwind-review-")
        self.address = ("127.0.0.1", listen or free_port())
        self.config = {
            "name": name, "listen": "%s:%d" % self.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "board": "%s:%d" % board.address[:2],
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": members}}]},
            "settings": settings}
        self.path, self.log_path = os.path.join(self.folder, "config.json"), os.path.join(self.folder, "log.txt")
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w") as f:
            json.dump(self.config, f)
        os.rename(self.path + ".new", self.path)

    def start(self):
        self.write_config()
        env = dict(os.environ, BALANCER_CONFIG=self.path, BALANCER_NAME=self.config["name"],
                   BALANCER_LISTEN=self.config["listen"], TMPDIR=self.folder)
        # The run line of deploy/balancer.toml.
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = next(line for line in f if line.startswith("run ")).split('"')[1]
        if os.environ.get("LOG_LEVEL"):
            run += " --log " + os.environ["LOG_LEVEL"]
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stderr=open(self.log_path, "a"),
                                        stdout=subprocess.DEVNULL, preexec_fn=end_with_parent)
        self.record("front-end", "started", pid=self.process.pid)

    async def ready(self, seconds=30):
        end = time.time() + seconds
        while time.time() < end and self.process.poll() is None:
            try:
                web = await Web.connect(self.address)
                future = asyncio.get_running_loop().create_future()
                web.open[1] = future
                web.writer.write(fcgi_health(1))
                answer = await asyncio.wait_for(future, 2)
                web.close()
                if answer and answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    def memory_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                line = next((l for l in f if l.startswith("VmRSS:")), None)
            return int(line.split()[1]) / 1024 if line else 0.0
        except (OSError, ValueError):
            return 0.0

    async def watch_memory(self):
        """The platform's limit: over `memory_mb` the front end is killed (DEPLOY page, "Limits"). Returns the
        largest memory seen, and whether the limit was passed."""
        largest, limit, said = 0.0, self.config["limits"]["memory_mb"], 0.0
        while self.process.poll() is None:
            now = self.memory_mb()
            largest = max(largest, now)
            if now > said + 2:
                said = now
                self.record("platform", "memory", mb=round(now, 1), limit=limit)
            if now > limit:
                self.record("platform", "kills", mb=round(now, 1), limit=limit)
                self.process.kill()
                return largest, True
            await asyncio.sleep(0.02)
        return largest, False

    def signal(self, number):
        self.record("front-end", "signal", number=int(number))
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class UsualClients:
    """Web servers that send calls at a steady rate, and what became of each call."""

    def __init__(self, record, front_end, rate, classes, keys, connections=4):
        self.record, self.front_end, self.rate, self.classes, self.keys = record, front_end, rate, classes, keys
        self.connections, self.results, self.sent, self.stopping = connections, {}, 0, False

    async def run(self):
        webs = [await Web.connect(self.front_end.address) for _ in range(self.connections)]
        calls, start = [], time.time()
        while not self.stopping:
            web, n = webs[self.sent % len(webs)], self.sent
            if web.closed:
                try:
                    web = webs[n % len(webs)] = await Web.connect(self.front_end.address)
                except OSError:
                    break  # nobody listens any more
            self.sent += 1
            calls.append(asyncio.create_task(self.call(web, n)))
            await asyncio.sleep(max(0.0, start + self.sent / self.rate - time.time()))
        await asyncio.gather(*calls)
        for web in webs:
            web.close()

    async def call(self, web, n):
        id, (name, wait_ms) = f"{0xA000000000000000 + n:016x}", self.classes[n % len(self.classes)]
        at = time.time()
        number, answer = web.send(id=id, cls=name, key=self.keys[n % len(self.keys)], wait_ms=wait_ms, body=b"call %d" % n)
        try:
            got = await asyncio.wait_for(answer, wait_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            web.abort(number)
            got = "late"
        status = "lost" if got is None else got if got == "late" else got.status
        if status == 200 and got.body != b"done call %d" % n:
            status = "foreign"
        self.results[id] = status
        self.record("client", "answered", id=id, status=status, ms=round((time.time() - at) * 1000))

    def counts(self):
        out = {}
        for status in self.results.values():
            out[status] = out.get(status, 0) + 1
        return out
