import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../lab"))
from lab import CannotRun, Client, Database, Service, read_loop, run_case, write_loop


async def play(lab, trouble):
    port = lab.ports["db"]
    bookings = lab.services["bookings"] = Service(lab, "bookings", sync=1)
    p = bookings.add(Database(bookings, "db-p", lab.ip(21), port, "z-a"), primary=True)
    bookings.add(Database(bookings, "db-a", lab.ip(22), port, "z-c"))
    bookings.add(Database(bookings, "db-b", lab.ip(23), port, "z-b"))

    await lab.start_system()
    for db in bookings.databases:
        await db.start()
    await lab.put_config(lab.config(1, [("book", "primary", "bookings")]))
    await lab.wait_ready()
    await asyncio.sleep(2)
    counts = {}
    writers = [
        asyncio.create_task(
            write_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "book"), 0.05, counts)
        )
        for ip in lab.entry_ips()
    ]
    await asyncio.sleep(3)
    for w in writers:
        w.cancel()
    readers = [
        asyncio.create_task(
            read_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "book"), 0.01, counts)
        )
        for ip in lab.entry_ips() * 4
    ]
    await asyncio.sleep(1)
    if trouble:
        # The platform carries out one order late; it answers all others.
        ordered = asyncio.Event()

        def on_late():
            lab.late_orders = None
            ordered.set()

        lab.late_orders = 8.0
        lab.on_late = on_late
        await p.go_dark()
        try:
            await asyncio.wait_for(ordered.wait(), 3)
        except asyncio.TimeoutError:
            raise CannotRun("no promotion was ordered")
        await p.come_back()
        await asyncio.sleep(1)
        other = next(
            d for d in bookings.databases if not d.primary and d.id != lab.orders[0][1]
        )
        await other.stop("crash")
        await asyncio.sleep(0.5)
        await other.start()
        other.catch_up()
        await asyncio.sleep(0.5)
    writers = [
        asyncio.create_task(
            write_loop(lab, lambda ip=ip: Client(lab, bookings, ip, "book"), 0.05, counts)
        )
        for ip in lab.entry_ips()
    ]
    await asyncio.sleep(10)
    lab.record("counts: %s" % counts)
    for t in writers + readers:
        t.cancel()


run_case(os.path.dirname(os.path.abspath(__file__)), play)
