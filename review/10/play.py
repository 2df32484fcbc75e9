import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lab"))
from lab import CannotRun, Client, Database, Service, read_loop, run_case, write_loop

DRAIN_S = 7.0


async def play(lab, trouble):
    port = lab.ports["db"]
    bookings = lab.services["bookings"] = Service(lab, "bookings", sync=0)
    bookings.add(Database(bookings, "db-p", lab.ip(21), port, "z-a"), primary=True)
    a = bookings.add(Database(bookings, "db-a", lab.ip(22), port, "z-b"))
    bookings.add(Database(bookings, "db-b", lab.ip(23), port, "z-c"))

    await lab.start_system()
    for db in bookings.databases:
        if db is not a:
            await db.start()
    await lab.put_config(
        lab.config(
            1, [("book", "primary", "bookings"), ("look", "bounded_staleness", "bookings")]
        )
    )
    await lab.wait_ready()

    # The clock of db-a's machine is ahead for 3 s.
    a.clock_ahead_ms = 2400 if trouble else 0
    if trouble:
        lab.record("the clock of db-a's machine is 2,400 ms ahead")
    await asyncio.sleep(1)
    await a.start()
    a.catch_up()
    await asyncio.sleep(1)
    await a.stop("crash")
    await asyncio.sleep(0.3)
    if trouble:
        lab.record("the clock of db-a's machine is right again")
    a.clock_ahead_ms = 0
    await a.start()
    a.catch_up()

    counts = {}
    tasks = [
        asyncio.create_task(
            write_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "book"), 0.2, counts)
        )
        for ip in lab.entry_ips()
    ]
    tasks += [
        asyncio.create_task(
            read_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "look"), 0.02, counts)
        )
        for ip in lab.entry_ips() * 3
    ]
    await asyncio.sleep(5)

    a.draining = True
    if not await a.beat():
        raise CannotRun("draining was not acknowledged")
    since = time.monotonic()
    lab.record("db-a is draining, as is acknowledged now")
    late = []

    def on_read(db, conn, ident, item):
        if db is a and time.monotonic() - since > DRAIN_S and not conn.in_tx:
            late.append((ident, time.monotonic() - since))

    lab.on_read = on_read
    await asyncio.sleep(DRAIN_S + 3)
    if late:
        lab.broken(
            "DRAIN",
            "%d single reads reach db-a later than 7,000 ms after its draining was "
            "acknowledged, the first (%s) after %.0f ms"
            % (len(late), late[0][0], late[0][1] * 1000),
        )
    lab.record("counts: %s" % counts)
    for t in tasks:
        t.cancel()


run_case(os.path.dirname(os.path.abspath(__file__)), play)
