import asyncio, os, sys, time
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins-2"))
from fleet import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEYS = [f"{0x7f3a9c21e0b40000 + n:016x}" for n in range(8)]
CONNECTIONS, OPEN, PAUSE, SECONDS = 10, 32, 0.25, 60  # 320 requests withdrawn at once, four times a second


async def serve_known(executor, call, reply, writer):
    """Serves the functions that exist. What it can't use it answers with an error, at once."""
    if call["meta"]["obj"] not in KEYS:
        reply("FAULT", call["req"])
        return
    await asyncio.sleep(0.15)
    executor.serve_call(call, reply)


async def unknown_functions(front_end, record, until):
    """A bad client: hundreds of requests at once for functions that nobody knows, withdrawn at once."""
    n, webs = 0, []
    try:
        webs = [await Web.connect(front_end.address) for _ in range(CONNECTIONS)]
        while time.time() < until and front_end.process.poll() is None:
            for web in webs:
                numbers = []
                for _ in range(OPEN):
                    n += 1
                    id, key = f"{0xB000000000000000 + n:016x}", f"{0xDEAD000000000000 + n:016x}"
                    numbers.append(web.send(id=id, cls="check-answers", key=key, wait_ms=3000)[0])
                for number in numbers:
                    web.abort(number)
            record("bad-client", "has sent and withdrawn", requests=n)
            await asyncio.sleep(PAUSE)
            webs = [await Web.connect(front_end.address) if web.closed else web for web in webs]
    except OSError as e:
        record("bad-client", "cannot connect", why=e)
    for web in webs:
        web.close()
    return n


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    executors = [await Executor(record, 0x100 + n, serve_known).start() for n in range(4)]
    board = await Board(record, [(1, 1, b"".join(Board.entry(e.id, e.address, 0) for e in executors))]).start()
    classes = [a_class("check-answers"), a_class("lodge-return", "once", worth=2.0)]
    front_end = FrontEnd(record, board, [member(e) for e in executors], wattlebank(classes), memory_mb=32)
    try:
        front_end.start()
        if not await front_end.ready():
            print("the front end is not ready:", open(front_end.log_path).read())
            return 2
        watch = asyncio.create_task(front_end.watch_memory())
        usual = UsualClients(record, front_end, 40, [("check-answers", 3000), ("lodge-return", 3000)], KEYS)
        running, sent = asyncio.create_task(usual.run()), 0
        await asyncio.sleep(5)
        until = time.time() + SECONDS
        if TROUBLE:
            sent = await unknown_functions(front_end, record, until)
        else:
            await asyncio.sleep(SECONDS)
        await asyncio.sleep(2)
        usual.stopping = True
        await running
        ended = front_end.process.poll()
        front_end.end()
        largest, over = await watch
        print(f"usual calls: {usual.counts()}; {sent} calls for unknown functions, withdrawn; memory {largest:.1f} MB of 32"
              + ("; killed over its limit" if over else ""))
        if ended is not None and not over:
            print("the front end has ended with", ended)
        return 1 if over or ended is not None or usual.counts().get("foreign") else 0
    finally:
        front_end.end()


run(main)
