"""Case 1: a server answers with 500, the next one loses its answer in the first event of the stream."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', 'standin'))
import fleet  # noqa: E402

SERVERS = 14
ENTRIES = 6
EVENTS = 24
SECONDS = 40
PER_SECOND = 90


def broken_rule(answer, runs):
    """What breaks the rule ORDER (and MIXED) in the answer to one request; None if they hold."""
    if answer.status is None or not 200 <= answer.status < 300 or not answer.complete:
        return None
    if not answer.fields.get('server-signature'):
        return 'a success without the Server-Signature of a server'
    whole = [body for _, status, body, is_whole in runs if status == 200 and is_whole]
    if answer.body in whole:
        return None
    for server, status, body, _ in runs:
        if status >= 400 and body == answer.body:
            return 'a success whose body is the failure of %s, with the Server-Signature %s' % (
                server, answer.fields['server-signature'])
    # A stream that was resumed at a second server consists of the events of both.
    events = [event for event in answer.body.split(b'\n\n') if event]
    expected = [b'id: %d' % number for number in range(1, EVENTS + 1)]
    if [event.split(b'\n')[0] for event in events] == expected:
        return None
    return 'a success with a body that is not the whole body of a server'


async def case():
    system = fleet.Fleet(__file__, servers=SERVERS, entries=ENTRIES)
    record = system.record
    broken = []
    counts = {}
    try:
        await system.start()
        for server in system.servers:
            server.events, server.event_gap = EVENTS, 0.08

        async def trouble():
            """Ten times for 3.4 s, each time at other servers: srv_grey, how errors, share 0.14, x 0.4; answer_lost, how
            reset, share 0.57, x 0.4."""
            for window in range(10):
                order = [system.servers[(3 * window + i) % SERVERS] for i in range(SERVERS)]
                record('trouble begins: 2 of 14 servers fail 0.4 of their requests, 8 lose 0.4 of their answers')
                for server in order[:2]:
                    server.grey = 0.4
                for server in order[2:10]:
                    server.lost = 0.4
                await asyncio.sleep(3.4)
                record('trouble ends')
                for server in system.servers:
                    server.grey = server.lost = 0
                await asyncio.sleep(0.2)

        if fleet.TROUBLE:
            asyncio.ensure_future(trouble())

        async def client(number):
            attempt = '%016x' % (0x9c41d07be2a30000 + number)
            entry = system.entries[number % len(system.entries)]
            record('client sends', attempt, 'to', entry.name)
            answer = await fleet.ask(entry.host, system.ports[2], 'POST', '/lepu270/2f',
                                     fleet.stream_request(attempt), b'{"prompt":"%d"}' % number)
            runs = []
            for server in system.servers:
                runs += server.runs.get(attempt, [])
            record('client gets', attempt, answer.status, 'complete' if answer.complete else 'incomplete',
                   answer.fields.get('server-signature', '-'), 'body', answer.body[:60])
            kind = '%s %s' % (answer.status, 'complete' if answer.complete else 'incomplete')
            counts[kind] = counts.get(kind, 0) + 1
            rule = broken_rule(answer, runs)
            if rule:
                record('ORDER is broken for', attempt + ':', rule)
                broken.append(rule)

        tasks = []
        for number in range(SECONDS * PER_SECOND):
            tasks.append(asyncio.ensure_future(client(number)))
            await asyncio.sleep(1 / PER_SECOND)
        await asyncio.gather(*tasks)
        for process in system.entries:
            if process.process.returncode is not None:
                raise RuntimeError('an entry ended')
        if counts.get('200 complete', 0) < SECONDS * PER_SECOND / 4:
            raise RuntimeError('too few requests were served: %s' % counts)
    finally:
        await system.end()
    record('answers:', counts, 'ORDER broken:', len(broken))
    print('answers:', counts)
    print('ORDER broken:', len(broken), broken[:1])
    return bool(broken)


if __name__ == '__main__':
    fleet.run_case(case)
