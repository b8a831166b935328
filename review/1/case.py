"""Grants stay unanswered and are carried out late; afterwards a target is stopped as planned."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standins"))
import standins as s

RANDOM = random.Random(int(os.environ.get("SEED", "1")))
# Half of the orders, for 5 seconds at a time, are carried out 2 seconds late without an answer.
WINDOW_S, LATE_S, WORK_S, DRAIN_S, ROUNDS = 3.0, 2.0, 1.0, 2, 2
LENGTH_S = 88
HALF, GAP_S, CLIENTS, DEPLOYMENTS = 4, 0.5, 100, "abcde"
ROUTES = {
    "r-look": {"hostname": "shop.example", "prefix": "/look/", "route_type": "idempotent",
               "timeout_s": 4, "aim_s": 2, "priority": 0, "service": "catalogue",
               "max_attempts": 2},
}
CONFIG = {
    "config_version": "00000001", "routes": ROUTES,
    "services": {"catalogue": {"health_check": "/health", "max_conns": 120, "protocol": "h1",
                               "tls": False, "sharded": True, "warm_s": 5.0, "grants": "call"}},
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3,
               "idle_timeout_s": 15},
}


class LateTarget(s.KeyedTarget):
    """While `late_until` lasts, grants get no answer and are carried out late."""

    def __init__(self, *arguments, **named):
        super().__init__(*arguments, **named)
        self.late_until = 0.0
        self.is_late = [False] * self.KEYS
        self.regranted = asyncio.Event()

    async def answer(self, head, body):
        if head.first.startswith("POST /v1/grant") and time.monotonic() < self.late_until:
            order, arrived = s.json.loads(body), time.monotonic()
            self.record("target", self.name, "will carry out late:", order)
            asyncio.ensure_future(self.carry_out(order, arrived))
            await asyncio.sleep(3600)
        return await super().answer(head, body)

    async def carry_out(self, order, arrived):
        await asyncio.sleep(LATE_S)
        left = arrived + order["hold_s"] - time.monotonic()
        if self.is_up and left > 0:
            self.take_grant(dict(order, hold_s=left), is_late=True)

    def take_grant(self, order, is_late=False):
        first, last = order["from"], order["target"]
        is_refused = max(self.fence[first:last + 1]) > order["fence"]
        if not is_refused:
            self.is_late[first:last + 1] = [is_late] * (last + 1 - first)
        return super().take_grant(order)

    async def take_release(self, order):
        first, last = order["from"], order["target"]
        answer = await super().take_release(order)
        if min(self.held_until[first:last + 1]) > time.monotonic():
            self.record("target", self.name, f"holds {first}-{last} anew since the release came")
            self.regranted.set()
        return answer


class Watch:
    """Sees what the targets see: for which keys two of them hold a grant at the same time.

    Holds that come from grants that were carried out late don't count.
    """

    def __init__(self, record):
        self.record, self.targets, self.broken = record, [], 0

    def on_grant(self, taker, first, last, _fence):
        for other in self.targets:
            if other is not taker and self.both(taker, other, first, last):
                asyncio.ensure_future(self.look_again(taker, other, first, last))

    def both(self, taker, other, first, last):
        now = time.monotonic()
        if not (taker.is_up and other.is_up):
            return []
        return [
            key for key in range(first, last + 1)
            if taker.held_until[key] > now and other.held_until[key] > now
            and not taker.is_late[key] and not other.is_late[key]
        ]

    async def look_again(self, taker, other, first, last):
        before = set(self.both(taker, other, first, last))
        await asyncio.sleep(0.6)
        keys = sorted(before.intersection(self.both(taker, other, first, last)))
        if keys:
            self.broken += 1
            self.record("BROKEN:", taker.name, "and", other.name, "have both held",
                        f"{len(keys)} keys from {keys[0]} on for 0.6 s; fences",
                        taker.fence[keys[0]], "and", other.fence[keys[0]])


async def client(daemons, record, until):
    while time.monotonic() < until:
        connection = await s.Connection.open(RANDOM.choice(daemons).callers)
        for _ in range(5):
            attempt, key = f"a{RANDOM.getrandbits(48):012x}", RANDOM.randrange(65536)
            raw = s.request("GET", "shop.example", "/look/x", attempt, 4000,
                            fields=[("X-Balsamswitch-Shard-Key", key)])
            record("client sends", attempt, "key", key)
            answer = await connection.request(raw)
            record("client gets", attempt, answer[0] if answer else "a closed connection")
            if answer is None or time.monotonic() >= until:
                break
            await asyncio.sleep(0.02)
        await connection.close()


async def leave(target):
    """A planned end: reports, serves on for drain_s and a little longer, and exits."""
    await target.report("draining")
    await asyncio.sleep(DRAIN_S + 1.5)
    await target.store.put("servers", target.name, None)
    await target.end()


async def deployment(letter, record, folder, all_daemons, broken):
    """Plays one deployment of two daemons; returns the requests run."""
    store, watch = s.Store(), Watch(record)
    daemons = []
    await store.put("op", "config", CONFIG)
    count = 0

    async def join():
        nonlocal count
        count += 1
        target = LateTarget(store, record, f"i-{letter}-{count:03}", "catalogue", work_s=WORK_S, slots=16)
        target.on_grant = watch.on_grant
        watch.targets.append(target)
        await target.start()
        return target

    present = [await join() for _ in range(2 * HALF)]
    address = await store.open()
    for number in range(2):
        daemons.append(s.Daemon(folder, f"edge-{letter}-{number}", address))
        all_daemons.append(daemons[-1])
    for daemon in daemons:
        await daemon.wait_ready()
    await asyncio.sleep(4)
    until = time.monotonic() + 95
    clients = [asyncio.ensure_future(client(daemons, record, until)) for _ in range(CLIENTS)]
    await asyncio.sleep(2)
    ended = []

    def end(target):
        record("planned end of", target.name)
        ended.append(asyncio.ensure_future(leave(target)))

    for _ in range(ROUNDS):
        late, others = present[:HALF], present[HALF:]
        record("grants to", *[target.name for target in late],
               "are late" if s.TROUBLE else "would be late")
        for target in late:
            target.regranted.clear()
            if s.TROUBLE:
                target.late_until = time.monotonic() + WINDOW_S
        # The targets are replaced one after the other; the new one starts first.
        await asyncio.sleep(WINDOW_S - 0.5)
        present = []
        for target in others:
            present.append(await join())
            end(target)
            await asyncio.sleep(GAP_S)
        waits = {asyncio.ensure_future(target.regranted.wait()): target for target in late}
        while waits:
            done, _ = await asyncio.wait(waits, timeout=4, return_when=asyncio.FIRST_COMPLETED)
            for wait in done or list(waits):
                wait.cancel()
                end(waits.pop(wait))
                present.append(await join())
        await asyncio.sleep(2)
        if watch.broken:
            broken[letter] = watch.broken
        if broken:
            break
    for task in clients + ended:
        task.cancel()
    for target in watch.targets:
        await target.end()
    for daemon in daemons:
        daemon.stop()
    return sum(len(target.begun) for target in watch.targets)


async def in_turn(letter, record, folder, daemons, broken):
    """Plays one deployment after the other."""
    run, count = 0, 0
    while not broken and time.monotonic() < s.START + LENGTH_S - 22:
        count += 1
        run += await deployment(f"{letter}{count}", record, folder, daemons, broken)
    return run, count


async def case(record, folder, daemons):
    # Several deployments at a time, each by itself, show in one run what one shows in some runs.
    broken = {}
    played = [in_turn(letter, record, folder, daemons, broken) for letter in DEPLOYMENTS]
    played = await asyncio.gather(*played)
    run, deployments = (sum(numbers) for numbers in zip(*played))
    verdict = (f"{sum(broken.values())} times two targets that were up held the same keys for over "
               f"0.5 s ({run} requests run, {deployments} deployments, broken in {broken})")
    return bool(broken), verdict


sys.exit(s.run(case, HERE))
