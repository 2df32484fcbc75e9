import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lab"))
from lab import CannotRun, Client, Database, Service, read_loop, run_case, write_loop

# There and back between zones, as on the sheet of filtrex-rein.
ZONE_TRIP_S = 0.0028


async def leader_of(lab):
    """The control VM that answers a read of the configuration itself."""
    for c in lab.controls:
        path = "/comfreywheel/config/get"
        try:
            status, _, _ = await asyncio.wait_for(
                lab.http_once(c.ip, lab.ports["control"], "GET", path, b""), 1
            )
        except (OSError, asyncio.TimeoutError, ValueError):
            continue
        if status == 200:
            return c
    raise CannotRun("no leader of control answers")


class Reads:
    """Reads on the primary route, and the acknowledged commits that they lacked."""

    def __init__(self, lab, service):
        self.lab = lab
        self.service = service
        self.sent = {}
        self.lacked = []
        lab.on_read = self.on_read

    async def loop(self, ip):
        client = None
        while True:
            try:
                if client is None:
                    client = Client(self.lab, self.service, ip, "book")
                    await client.connect()
                ident = Client.new_id()
                self.sent[ident] = time.monotonic()
                await client.query("READ item%d" % random.randint(0, 9), ident)
            except (ConnectionError, asyncio.TimeoutError, OSError):
                client.close()
                client = None
            await asyncio.sleep(0.05)

    def on_read(self, db, conn, ident, item):
        sent = self.sent.get(ident)
        if sent is None:
            return
        log = set(map(id, db.log if db.primary else db.log[: db.applied]))
        for commits in self.lab.commits.values():
            for c in commits:
                if c.acked_at and c.acked_at < sent and id(c) not in log:
                    self.lacked.append((ident, db, c))

    def judge(self):
        """Commits that a promotion rolled back for good don't count."""
        if not self.service.primary:
            raise CannotRun("there is no primary at the end")
        final = set(map(id, self.service.primary.log))
        stale = [x for x in self.lacked if id(x[2]) in final]
        if not stale:
            return
        ident, db, c = stale[0]
        self.lab.broken(
            "STALE",
            "%d reads lacked a commit that was acknowledged before them and is not rolled "
            "back, the first (%s) at %s commit %d.%d"
            % (len(set(x[0] for x in stale)), ident, db.id, c.term, c.number),
        )


async def play(lab, trouble):
    port = lab.ports["db"]
    bookings = lab.services["bookings"] = Service(lab, "bookings", sync=0)

    def database(name, host, zone, primary=False):
        db = Database(bookings, name, lab.ip(host), port, zone, delay_s=ZONE_TRIP_S)
        return bookings.add(db, primary)

    p = database("db-p", 21, "z-a", primary=True)
    replicas = [database("db-a", 22, "z-c"), database("db-b", 23, "z-b")]
    reads = Reads(lab, bookings)
    await lab.start_system()
    for db in bookings.databases:
        await db.start()
    await lab.put_config(
        lab.config(
            1, [("book", "primary", "bookings"), ("look", "bounded_staleness", "bookings")]
        )
    )
    await lab.wait_ready()
    await asyncio.sleep(2)
    counts = {}
    tasks = []
    for ip in lab.entry_ips():
        writer = write_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "book"), 0.05, counts)
        tasks.append(asyncio.create_task(writer))
        tasks.append(asyncio.create_task(reads.loop(ip)))
        for _ in range(2):
            reader = read_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "look"), 0.02, counts)
            tasks.append(asyncio.create_task(reader))
    await asyncio.sleep(2)
    if trouble:
        lab.record("the replicas receive nothing")
        for db in replicas:
            db.deaf = True
    await asyncio.sleep(3)
    crashed = time.monotonic()
    if trouble:
        await p.stop("crash")
    await asyncio.sleep(1.2)

    # Planned: the machine of the leader of control is stopped and started.
    leader = await leader_of(lab)
    leader.signal(signal.SIGTERM)
    await leader.wait()
    await asyncio.sleep(1)
    await lab.restart(leader)
    await asyncio.sleep(max(0, crashed + 3 - time.monotonic()))
    if trouble:
        lab.record("the replicas receive again")
        for db in replicas:
            db.deaf = False
            db.catch_up()

    # Planned: the primary is replaced; the new database starts first.
    old = bookings.primary
    new = database("db-n", 25, "z-a")
    await new.start()
    new.catch_up()
    await asyncio.sleep(1)
    lab.record("%s is draining" % old.id)
    old.draining = True
    old.change.set()
    await asyncio.sleep(max(0, crashed + 6.5 - time.monotonic()))
    if trouble:
        # It comes back with its log, under another id.
        p.id = "db-p2"
        await p.start()
        p.catch_up()
    await asyncio.sleep(6)
    path = "/comfreywheel/instances/%s/leave" % old.id
    await lab.http(lab.control_ips()[0], "POST", path, {"born": old.born})
    await old.stop("left")
    bookings.databases.remove(old)
    await asyncio.sleep(8)
    reads.judge()
    lab.record("counts: %s" % counts)
    for t in tasks:
        t.cancel()


run_case(os.path.dirname(os.path.abspath(__file__)), play)
