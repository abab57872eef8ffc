"""Case 2: a machine stands still between the check of the staged pieces and the order to load them.

A piece that the agent has checked turns bad just before its machine (agent and model server) stands still for 4 s.
"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin'))
import fleet  # noqa: E402

SERVERS = 14
FROZEN = 2
FREEZE_S = 4.0


async def case():
    system = fleet.Fleet(__file__, servers=SERVERS, entries=2)
    record = system.record
    frozen = []

    async def freeze(server):
        agent = system.agents[system.servers.index(server)]
        server.rot(3)
        agent.signal(signal.SIGSTOP)
        server.awake.clear()
        record('the machine of', agent.name, 'and', server.id, 'stands still')
        await asyncio.sleep(FREEZE_S)
        agent.signal(signal.SIGCONT)
        server.awake.set()
        record('the machine of', agent.name, 'wakes')

    def on_stage_get(server, number):
        if fleet.TROUBLE and number == fleet.PIECES - 1 and len(frozen) < FROZEN and server not in frozen:
            frozen.append(server)
            asyncio.ensure_future(freeze(server))

    served = []

    async def client(attempt, entry):
        record('client sends', attempt, 'to', entry.name)
        answer = await fleet.ask(entry.host, system.ports[2], 'POST', '/lepu270/2f',
                                 fleet.stream_request(attempt), b'{}')
        record('client gets', attempt, answer.status, 'weights', answer.fields.get('weight-versions'),
               'complete' if answer.complete else 'incomplete')
        if answer.status == 200 and answer.complete:
            served.append(attempt)

    try:
        await system.start()
        for server in system.servers:
            server.on_stage_get = on_stage_get
        system.store.put('versions', fleet.MODEL, {'model': fleet.MODEL, 'version': 2})
        record('version 2 is named')
        number = 0
        rounds = 4
        is_loaded = False
        while rounds > 0 and number < 2000:
            # Ten clients at a time; then 120 at a time, once all servers have loaded version 2.
            tasks = []
            for _ in range(120 if is_loaded else 10):
                number += 1
                attempt = '%016x' % (0x9c41d07be2a30000 + number)
                tasks.append(asyncio.ensure_future(client(attempt, system.entries[number % 2])))
            await asyncio.gather(*tasks)
            rounds -= is_loaded
            is_loaded = all(server.loaded == 2 and not server.busy for server in system.servers)
        loaded = [server.loaded for server in system.servers]
        bad = [load for server in system.servers for load in server.bad_loads]
        tokens = [attempt for server in system.servers for attempt in server.bad_tokens]
    finally:
        await system.end()
    if len(served) < 100 or (fleet.TROUBLE and len(frozen) < FROZEN) or (not fleet.TROUBLE and set(loaded) != {2}):
        raise RuntimeError('served %d, frozen %d, loaded %s' % (len(served), len(frozen), loaded))
    delivered = [attempt for attempt in tokens if attempt in served]
    summary = 'loads with a piece that was bad for over 3 s: %s; answers made with them: %d, given to clients: %d' % (
        bad, len(tokens), len(delivered))
    record(summary)
    print(summary)
    return bool(tokens)


if __name__ == '__main__':
    fleet.run_case(case)
