"""Case 6: all machines lose power while the fleet serves version 1, which nobody has named."""
import asyncio
import logging
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin'))
import fleet  # noqa: E402

# The template of an entry has gained a bound since the stand-ins were written.
EARLIER_VALUES = fleet.values_of
fleet.values_of = lambda machine: dict(EARLIER_VALUES(machine), **{'bounds.contact_ms': 3000})

# Channels that are open at the end of the case are cancelled.
logging.getLogger('asyncio').setLevel(logging.CRITICAL)

SERVERS = 6
ENTRIES = 4
PER_SECOND = 40
BEFORE_S = 6
POWER_OFF_S = 2.0
RECOVER_S = 12
JUDGED_S = 8
HEARTBEAT_S = 1.2
COLD_S = 3.0
# With NAMED=1, version 1 is named in the store as a later one would be: a trial, no part of the case.
NAMED = os.environ.get('NAMED') == '1'


class PoweredServer(fleet.ModelServer):
    """A model server that refuses work while it holds no layers, and that can lose power."""

    cold_until = 0.0

    def register(self):
        left = max(0.0, self.cold_until - time.monotonic())
        self.store.put('servers', self.id, {
            'service': self.service, 'address': '%s:%d' % (self.host, self.port), 'zone': self.zone, 'version': 'v1',
            'slots': self.slots, 'state': 'ready', 'cold_left_ms': int(left * 1000), 'stage': 'combined',
            'models': self.models(), 'sequence': self.sequence, 'born': self.born})

    async def run(self, attempt, fields, body, base, writer):
        if self.loaded == 0:
            writer.write(fleet.answer_bytes(503, b'', dict(base, **{'Not-Executed': '1'})))
            return True
        return await super().run(attempt, fields, body, base, writer)

    def lose_power(self):
        """The process, its layers and its staged pieces are gone; its entry expires after three heartbeats."""
        self.crash()
        self.loaded, self.staged, self.busy, self.sequence = 0, {}, False, 0
        self.record('server', self.id, 'loses power')
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self.store.remove, 'servers', self.id)

    async def return_cold(self):
        self.cold_until = time.monotonic() + COLD_S
        await self.start()
        self.record('server', self.id, 'has started, without layers and staged pieces')
        await asyncio.sleep(COLD_S)
        self.register()


async def start(system):
    """As Fleet.start(), but no version of the weights is named in the store."""
    system.store.put('config', 'main', system.config())
    if NAMED:
        system.store.put('versions', fleet.MODEL, {'model': fleet.MODEL, 'version': 1})
    await system.store.start()
    await system.origin.start()
    for server in system.servers:
        await server.start()
    for process in system.agents + system.entries:
        await process.start()
    for entry in system.entries:
        await system.ready(entry)
    await asyncio.sleep(3)


async def power_off(system):
    record = system.record
    record('all machines lose power')
    for process in system.agents + system.entries:
        process.signal(signal.SIGKILL)
    for server in system.servers:
        server.lose_power()
    for process in system.agents + system.entries:
        await process.process.wait()
    await asyncio.sleep(POWER_OFF_S)
    for server in system.servers:
        asyncio.ensure_future(server.return_cold())
    for process in system.agents + system.entries:
        await process.start()
    record('all machines are back')


async def case():
    system = fleet.Fleet(__file__, servers=0, entries=ENTRIES)
    names = list(system.zones)
    system.servers = [PoweredServer(system.address(20 + i), 8001, system.store, system.record, 'huvo11a', names[i % 2], i)
                      for i in range(SERVERS)]
    system.agents = [fleet.Process(system, 'agent', server.host, server.zone,
                                   {'service': 'huvo11a', 'app': '%s:8001' % server.host})
                     for server in system.servers]
    record = system.record
    results = {'before': [], 'judged': []}
    try:
        await start(system)
        window = ['before']
        stopped = False

        async def client(number, name):
            attempt = '%016x' % (0x9c41d07be2a30000 + number)
            entry = system.entries[number % ENTRIES]
            record('client sends', attempt, 'to', entry.name)
            answer = await fleet.ask(entry.host, system.ports[2], 'POST', '/lepu270/2f',
                                     fleet.stream_request(attempt), b'{"prompt":"%d"}' % number)
            is_served = answer.status == 200 and answer.complete
            record('client gets', attempt, answer.status, 'complete' if answer.complete else 'incomplete')
            if name is not None:
                results[name].append(is_served)

        async def clients():
            number, tasks = 0, []
            while not stopped:
                tasks.append(asyncio.ensure_future(client(number, window[0])))
                number += 1
                await asyncio.sleep(1 / PER_SECOND)
            await asyncio.gather(*tasks)

        traffic = asyncio.ensure_future(clients())
        await asyncio.sleep(BEFORE_S)
        window[0] = None
        # Requests of the last moments before the fault may be cut by it and are in no window.
        await asyncio.sleep(1)
        if fleet.TROUBLE:
            await power_off(system)
        await asyncio.sleep(RECOVER_S)
        window[0] = 'judged'
        record('the judged time begins,', RECOVER_S, 's after the machines were back')
        await asyncio.sleep(JUDGED_S)
        window[0] = None
        stopped = True
        await traffic
        if any(process.process.returncode is not None for process in system.agents + system.entries):
            raise RuntimeError('a process ended')
    finally:
        await system.end()
    before, judged = results['before'], results['judged']
    loaded = [server.loaded for server in system.servers]
    text = 'served before: %d of %d; later than %d s after the return: %d of %d; versions at the servers: %s' % (
        sum(before), len(before), RECOVER_S, sum(judged), len(judged), loaded)
    record(text)
    print(text)
    if sum(before) * 4 < len(before):
        raise RuntimeError('too little was served before the fault')
    is_broken = sum(judged) * 4 < len(judged)
    print('RECOVER', 'is broken' if is_broken else 'holds')
    return is_broken


if __name__ == '__main__':
    fleet.run_case(case)
