"""DRAIN: a server that has left gets requests for longer than drain_ms after a waiting watch was cut off."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import lab as stand  # noqa: E402

DRAIN_S = 2.0
ROUNDS = 5
ROUND_S = 6.0
# PROTOCOL.md: a server that leaves serves on for drain_ms and a little longer, and then exits.
LITTLE_LONGER_S = 0.2
REMOVAL_AFTER_START_S = 0.05
CUT_AFTER_REMOVAL_S = 0.3
REGIONS = {"a": "r1"}


class Client:
    """Sends requests of a route one after another on one channel, as browsers of the platform do."""

    def __init__(self, number, host, port, record):
        self.number, self.host, self.port, self.record = number, host, port, record
        self.sent = {}
        self.got = {}
        self.count = 0

    async def run(self):
        reader = writer = None
        while True:
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.host, self.port)
                self.count += 1
                ident = "c%d-%d" % (self.number, self.count)
                self.sent[ident] = stand.now()
                self.record("send     %s" % ident)
                writer.write(("POST /order/item HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n"
                              "Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n" % ident).encode())
                head = await stand.read_head(reader)
                await stand.read_body(reader, head)
                status = head.first.split()[1]
                self.got[ident] = status
                self.record("answer   %s %s" % (ident, status))
                if head.get("connection").lower() == "close":
                    writer.close()
                    writer = None
            except (OSError, asyncio.IncompleteReadError):
                if writer:
                    writer.close()
                writer = None
            await asyncio.sleep(0.02)


async def run(lab):
    record = lab.record
    entries = ["127.0.1.1", "127.0.1.2"]
    sides = ["127.0.1.11", "127.0.1.12"]
    everything = entries + sides + ["127.0.1.100"]
    caller, status, metrics, load, peers, app, store_port = (
        stand.free_port(everything, udp=True) for _ in range(7))
    store = stand.Store("127.0.1.100", store_port, record)
    address = "127.0.1.100:%d" % store_port
    servers = [stand.Server("127.0.1.%d" % (21 + i), app, "i-plain-%d" % i, "orders", "a", record, work_s=0.04)
               for i in range(4 + ROUNDS)]
    engines = [stand.Engine(host, app, "i-engine-%d" % i, "models", "a", record) for i, host in enumerate(sides)]
    await lab.listen(store, *servers, *engines)
    store.put("config", "main", {
        "version": 3, "routes": [stand.route("shop.example", "/order/", "non_idempotent", "orders", public=True,
                                             max_attempts=1)],
        "services": [stand.plain_service("orders"), stand.engine_service("models", sides[0], app)],
        "limits": stand.LIMITS, "tenants": []})
    store.put("versions", "model-1", {"model": "model-1", "version": 1})
    for server in engines + servers[:4]:
        store.put("servers", server.ident, server.entry())
    for i, host in enumerate(sides):
        lab.start_agent("agent-%d" % i, host, (load, peers, metrics), app, "models", "a", REGIONS, address)
    for i, host in enumerate(entries):
        lab.start_entry("entry-%d" % i, host, (caller, status, metrics, load), "a", REGIONS, address)
    for host in entries:
        await stand.await_ready(host, status)
    clients = [Client(i, host, caller, record) for i, host in enumerate(entries * 4)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(6)
    left = {}
    for i in range(ROUNDS):
        # One server is replaced: the new one starts, the old one leaves without a notice and serves on.
        fresh = servers[4 + i]
        store.put("servers", fresh.ident, fresh.entry())
        await asyncio.sleep(REMOVAL_AFTER_START_S)
        store.remove("servers", servers[i].ident)
        left[servers[i].ident] = stand.now()
        record("store    has removed %s" % servers[i].ident)
        if lab.trouble:
            await asyncio.sleep(CUT_AFTER_REMOVAL_S)
            record("store    cuts %d waiting watches" % store.cut_watches())
            await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S - CUT_AFTER_REMOVAL_S)
        else:
            await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
        record("exit     of %s" % servers[i].ident)
        servers[i].stop()
        await asyncio.sleep(ROUND_S - DRAIN_S)
    for task in tasks:
        task.cancel()
    sent = {ident: at for client in clients for ident, at in client.sent.items()}
    got = {ident: status for client in clients for ident, status in client.got.items()}
    broken = 0
    for server in servers[:ROUNDS]:
        removed = left[server.ident]
        late = {ident: at - removed for at, ident in server.arrivals if sent[ident] > removed + DRAIN_S}
        lost = [ident for ident in late if got.get(ident) != "200"]
        record.say("%s: %d requests, %d of them sent by clients later than %.1f s after its removal, the last one "
                   "%.3f s after; %d of these were lost with its exit: %s"
                   % (server.ident, len(server.arrivals), len(late), DRAIN_S, max(late.values(), default=0),
                      len(lost), " ".join("%s %s" % (ident, got.get(ident)) for ident in lost)))
        broken += bool(late)
    statuses = list(got.values())
    record.say("answers: %s" % {status: statuses.count(status) for status in sorted(set(statuses))})
    return broken > 0


stand.main(run, __file__)
