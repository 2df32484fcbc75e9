"""Stand-ins and process control for the scripts of the second review.

Starts the programs of deploy/system.toml as separate processes on loopback
addresses, with settings rendered from deploy/node.conf, and plays databases,
the platform, the operator and clients as PROTOCOL.md describes them. Uses the
standard library of Python only.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAMS = os.environ.get("PROGRAMS", "target/build/platform")
ENTRY = PROGRAMS + "/comfreywheel-entry"
CONTROL = PROGRAMS + "/comfreywheel-control"
SYSTEM_ID = "-"


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def render(text, values):
    """Renders deploy/node.conf as DEPLOY.md describes it."""

    def find(path):
        value = values
        for key in path.split("."):
            if isinstance(value, (list, tuple)):
                value = value[int(key)] if int(key) < len(value) else None
            else:
                value = value.get(key) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def plain(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(v) for v in value)
        return str(value)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    while section.search(text):
        text = section.sub(
            lambda m: m.group(2) if find(m.group(1)) not in (None, False) else "", text
        )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: plain(find(m.group(1))), text)


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="ascii", errors="replace")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%9.3f  %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()

    def close(self):
        self.file.close()


class Process:
    """One process of the system."""

    def __init__(self, lab, name, program, settings, log):
        self.lab = lab
        self.name = name
        self.program = program
        self.settings = settings
        self.log = log
        self.child = None

    async def start(self):
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "HOME": os.environ.get("HOME", "/"),
            "COMFREYWHEEL_SETTINGS": self.settings,
        }
        if "ASAN_OPTIONS" in os.environ:
            env["ASAN_OPTIONS"] = os.environ["ASAN_OPTIONS"]
        out = open(self.log, "ab")
        self.child = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, self.program), cwd=ROOT, env=env, stdout=out, stderr=out
        )
        out.close()
        self.lab.record("process %s started" % self.name)

    def signal(self, number):
        if self.child and self.child.returncode is None:
            self.child.send_signal(number)
            self.lab.record("process %s gets signal %d" % (self.name, number))

    def running(self):
        return self.child is not None and self.child.returncode is None

    async def wait(self):
        if self.child:
            return await self.child.wait()
        return None


class Commit:
    def __init__(self, service, term, number, writes, ids):
        self.service = service
        self.term = term
        self.number = number
        self.writes = writes
        self.ids = ids
        self.acked_at = 0.0


class Connection:
    """A connection to a database."""

    def __init__(self, db, reader, writer):
        self.db = db
        self.reader = reader
        self.writer = writer
        self.values = {}
        self.prepared = {}
        self.reset_transaction()

    def reset_transaction(self):
        self.in_tx = False
        self.plain = False
        self.failed = False
        self.tx_term = 0
        self.writes = []
        self.ids = []


class Database:
    """A database of a service, as PROTOCOL.md describes it."""

    def __init__(self, service, name, ip, port, zone, delay_s=0.0, receive_s=0.001):
        self.service = service
        self.lab = service.lab
        self.id = name
        self.ip = ip
        self.port = port
        self.zone = zone
        self.delay_s = delay_s
        self.receive_s = receive_s
        self.apply_s = 0.005
        self.log = []
        self.applied = 0
        self.primary = False
        self.running = False
        self.deaf = False
        self.paused_term = 0
        self.draining = False
        self.sequence = 0
        self.born = 0
        self.server = None
        self.connections = set()
        self.tasks = set()
        self.received = asyncio.Event()
        self.light = asyncio.Event()
        self.light.set()
        self.change = asyncio.Event()
        self.control_reached = asyncio.Event()
        self.control_reached.set()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    def position(self, end=None):
        end = len(self.log) if end is None else end
        if not end:
            return "%d.0" % self.service.term
        last = self.log[end - 1]
        return "%d.%d" % (max(last.term, 1), last.number)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = True
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=4 << 20)
        self.lab.record("database %s starts at %s" % (self.id, self.lab.label(self.address)))
        self.beater = asyncio.create_task(self.beat_loop())

    async def stop(self, why):
        """The process ends: its connections break, and it sends nothing more."""
        self.lab.record("database %s ends: %s" % (self.id, why))
        self.running = False
        self.beater.cancel()
        self.server.close()
        for conn in list(self.connections):
            conn.writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        self.paused_term = 0

    # A dark machine: bytes to and from it wait, and nothing is refused.

    async def go_dark(self):
        self.lab.record("database %s goes dark" % self.id)
        self.light.clear()

    async def come_back(self):
        self.lab.record("database %s is back" % self.id)
        self.light.set()

    async def beat_loop(self):
        while True:
            await self.beat()
            try:
                await asyncio.wait_for(self.change.wait(), self.lab.heartbeat_s)
                self.change.clear()
            except asyncio.TimeoutError:
                pass

    def beat_body(self):
        return {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": "draining" if self.draining else "ready",
            "cold_remaining_ms": 0,
            "db_role": "primary" if self.primary else "replica",
            "sequence": self.sequence,
            "born": self.born,
        }

    async def beat(self):
        await self.light.wait()
        await self.control_reached.wait()
        self.sequence += 1
        body = self.beat_body()
        ips = self.lab.live_controls
        for ip in random.sample(ips, len(ips)):
            status, _ = await self.lab.http(
                ip, "POST", "/comfreywheel/instances/%s/heartbeat" % self.id, body
            )
            if 200 <= status < 300:
                return True
        return False

    def set_primary(self, primary):
        if self.primary != primary:
            self.primary = primary
            self.change.set()

    # replication

    def take(self, commit):
        """Receives a commit from the primary; applies it a little later."""
        if not self.running or self.deaf or self.paused_term or self.primary:
            return
        leader = self.service.primary
        if leader is None or commit not in leader.log[commit.index : commit.index + 1]:
            return
        if len(self.log) != commit.index or self.log[-1:] != leader.log[: commit.index][-1:]:
            self.catch_up()
            return
        self.log.append(commit)
        self.service.received()
        asyncio.get_running_loop().call_later(self.apply_s, self.apply, len(self.log))

    def roll_back(self):
        """Drops what the present primary does not have."""
        leader = self.service.primary
        if leader is None or leader is self or self.deaf:
            return
        common = 0
        end = min(len(self.log), len(leader.log))
        while common < end and self.log[common] is leader.log[common]:
            common += 1
        self.truncate(common)

    def catch_up(self):
        leader = self.service.primary
        if (
            leader is None
            or leader is self
            or not leader.running
            or not self.running
            or self.deaf
            or self.paused_term
        ):
            return
        self.roll_back()
        if len(self.log) < len(leader.log):
            self.log.extend(leader.log[len(self.log) :])
            self.service.received()
            asyncio.get_running_loop().call_later(self.apply_s, self.apply, len(self.log))

    def apply(self, end):
        self.applied = max(self.applied, min(end, len(self.log)))

    def truncate(self, length):
        del self.log[length:]
        self.applied = min(self.applied, length)

    # the wire

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        conn = Connection(self, reader, writer)
        self.connections.add(conn)
        try:
            await self.session(conn)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections.discard(conn)
            self.tasks.discard(task)
            writer.transport.abort()

    async def session(self, conn):
        await self.light.wait()
        line = (await conn.reader.readline()).decode().rstrip("\r\n").split(" ")
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if line[0] != "START" or len(line) < 3:
            return
        if line[1] != self.service.name or (len(line) > 3 and line[3] != self.id):
            conn.writer.write(b"ERR MISROUTED\r\n")
            await conn.writer.drain()
            return
        self.reply(conn, "")
        while True:
            raw = await conn.reader.readline()
            if not raw:
                return
            text = raw.decode().rstrip("\r\n")
            await self.light.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if text == "BYE":
                return
            word, ident, query = text.split(" ", 2)
            if word != "QUERY":
                return
            answer = await self.run(conn, ident, query)
            await self.light.wait()
            if answer is not None:
                self.reply(conn, answer)

    def reply(self, conn, answer):
        state = "E" if conn.failed else "T" if conn.in_tx else "I"
        end = len(self.log) if self.primary else self.applied
        conn.writer.write((answer + "READY %s %s\r\n" % (state, self.position(end))).encode())

    def error(self, conn, code):
        if conn.in_tx:
            conn.failed = True
        return "ERR %s %s\r\n" % (code, self.id)

    def signature(self, ident):
        return "%s.%s" % (self.id, ident)

    def status_row(self):
        return "ROW %s %d %s %d 0 0 %d\r\nDONE -\r\n" % (
            "primary" if self.primary else "replica",
            self.service.term if self.primary else self.known_term(),
            self.position(),
            self.paused_term,
            len(self.connections),
        )

    def known_term(self):
        return max(self.service.term, 1)

    def holds(self, text):
        term, number = (int(x) for x in text.split("."))
        number = number - 1
        if number < 0:
            return True
        log = self.log[: len(self.log) if self.primary else self.applied]
        return number < len(log) and log[number].term >= term

    async def run(self, conn, ident, query):
        lab = self.lab
        words = query.split(" ")
        after = None
        if words[0] == "AFTER":
            after = words[1]
            words = words[2:]
        verb = words[0]
        if verb in ("WRITE", "COMMIT", "PAUSE", "RESUME", "DEMOTE"):
            lab.trace("%s runs %s %s" % (self.id, ident, query[:60]))
        if verb == "STATUS":
            return self.status_row()
        if verb == "PAUSE":
            term = int(words[1])
            if not self.primary and term > self.known_term():
                self.paused_term = term
            return self.status_row()
        if verb == "RESUME":
            self.paused_term = 0
            self.catch_up()
            return self.status_row()
        if verb == "DEMOTE":
            if self.primary and int(words[1]) > self.service.term:
                self.service.demote(self)
            return self.status_row()
        if verb == "RESET":
            conn.values.clear()
            conn.prepared.clear()
            return "DONE -\r\n"
        if verb == "SET":
            conn.values[words[1]] = " ".join(words[2:])
            return "DONE -\r\n"
        if verb == "PREPARE":
            conn.prepared[words[1]] = (words[2], " ".join(words[3:]))
            return "DONE -\r\n"
        if verb == "DEALLOC":
            conn.prepared.pop(words[1], None)
            return "DONE -\r\n"
        if verb == "ROLLBACK":
            conn.reset_transaction()
            return "DONE -\r\n"
        if conn.failed:
            if verb == "COMMIT":
                conn.reset_transaction()
                return "ERR ABORTED rolled back\r\n"
            return "ERR MALFORMED the transaction failed\r\n"
        if verb == "BEGIN":
            if after and not self.holds(after):
                return self.error(conn, "LAGGING")
            read = len(words) > 1 and words[1] == "READ"
            if not read and not self.primary:
                return self.error(conn, "READONLY")
            conn.in_tx = True
            conn.plain = not read
            conn.tx_term = self.service.term
            return "DONE %s\r\n" % self.signature(ident)
        if verb == "EXEC":
            if words[1] not in conn.prepared:
                return self.error(conn, "NOSTMT")
            kind, _ = conn.prepared[words[1]]
            words = [kind] + words[2:]
            verb = kind
        await asyncio.sleep(0.002)
        if conn.in_tx and conn.plain and not (self.primary and conn.tx_term == self.service.term):
            if not (verb == "COMMIT" and not conn.writes):
                if verb == "COMMIT":
                    conn.reset_transaction()
                    return "ERR READONLY %s\r\n" % self.id
                return self.error(conn, "READONLY")
        if verb == "READ":
            if after and not self.holds(after):
                return self.error(conn, "LAGGING")
            lab.on_read(self, conn, ident, words[1])
            rows = self.read(words[1], conn)
            return "ROW %s\r\nDONE %s\r\n" % (rows, self.signature(ident))
        if verb == "WRITE":
            if not self.primary:
                return self.error(conn, "READONLY")
            if conn.in_tx:
                conn.writes.append((words[1], " ".join(words[2:])))
                conn.ids.append(ident)
                return "DONE %s\r\n" % self.signature(ident)
            return await self.commit(conn, ident, [(words[1], " ".join(words[2:]))], [ident])
        if verb == "COMMIT":
            writes, ids = conn.writes, conn.ids
            conn.reset_transaction()
            if not writes:
                return "DONE %s\r\n" % self.signature(ident)
            return await self.commit(conn, ident, writes, ids + [ident])
        return "ERR MALFORMED\r\n"

    def read(self, item, conn):
        log = self.log[: len(self.log) if self.primary else self.applied]
        for commit in reversed(log):
            for name, value in commit.writes:
                if name == item:
                    return value
        return "none"

    async def commit(self, conn, ident, writes, ids):
        service = self.service
        term = service.term
        commit = Commit(service, term, len(self.log) + 1, writes, ids)
        commit.index = len(self.log)
        self.log.append(commit)
        for i in ids:
            self.lab.on_commit(self, i, commit)
        for other in service.databases:
            if other is not self and other.running:
                asyncio.get_running_loop().call_later(other.receive_s, other.take, commit)
        while service.sync and not service.received_by(commit, self) >= service.sync:
            # The new primary may or may not have received it: nothing can be said.
            if service.primary is not self or service.term != term:
                raise ConnectionError("the lead was lost during a commit")
            await service.wait_received()
        if service.primary is not self or service.term != term or not self.running:
            raise ConnectionError("the lead was lost during a commit")
        return "DONE %s\r\n" % self.signature(ident)


class Service:
    """A service: one primary and its replicas."""

    def __init__(self, lab, name, sync=0, promote_s=0.6):
        self.lab = lab
        self.name = name
        self.sync = sync
        self.promote_s = promote_s
        self.term = 1
        self.databases = []
        self.primary = None
        self.event = asyncio.Event()
        self.fence = 0

    def add(self, db, primary=False):
        self.databases.append(db)
        if primary:
            self.primary = db
            db.primary = True
        return db

    def received(self):
        self.event.set()
        self.event = asyncio.Event()

    async def wait_received(self):
        try:
            await asyncio.wait_for(self.event.wait(), 0.2)
        except asyncio.TimeoutError:
            pass

    def received_by(self, commit, primary):
        return sum(
            1
            for db in self.databases
            if db is not primary
            and commit.index < len(db.log)
            and db.log[commit.index] is commit
        )

    def demote(self, db):
        self.lab.record("%s is demoted" % db.id)
        db.applied = len(db.log)
        db.set_primary(False)
        self.primary = None
        self.received()

    async def promote(self, db):
        """The named database leads the next term, some hundred ms later."""
        await asyncio.sleep(self.promote_s)
        if not db.running or self.primary is db:
            return
        old = self.primary
        self.term += 1
        length = len(db.log)
        lost = self.lab.on_promote(self, db)
        self.primary = db
        if old:
            old.applied = len(old.log)
            old.set_primary(False)
        db.applied = length
        db.paused_term = 0
        db.set_primary(True)
        for other in self.databases:
            other.paused_term = 0
            if other is not db and other.running:
                other.roll_back()
                other.catch_up()
        self.received()
        self.lab.record(
            "%s leads %s in term %d with %d commits; acknowledged commits that it lacks: %d"
            % (db.id, self.name, self.term, length, lost)
        )


class Lab:
    def __init__(self, folder, controls=3, entries=2, zones=("z-a", "z-b", "z-c")):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.mkdtemp(prefix="review-lab-")
        self.heartbeat_s = 1.2
        self.zones = zones
        self.services = {}
        self.processes = []
        self.breaks = []
        self.commits = {}
        self.tracing = True
        self.platform_up = True
        self.late_orders = None
        self.on_late = None
        self.orders = []
        self.duty_fence = {}
        self.labels = {}
        self.nr_controls = controls
        self.nr_entries = entries
        self.choose_network()

    # addresses

    def choose_network(self):
        for _ in range(50):
            self.net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            base = random.randint(20000, 29000)
            self.ports = {
                "internal": base,
                "control": base + 20,
                "front": base + 21,
                "ready": base + 22,
                "platform": base + 23,
                "db": base + 24,
            }
            wanted = [(i, 9190) for i in range(1, 30)]
            wanted += [(i, p) for i in range(1, 60) for p in self.ports.values()]
            if all(self.is_free(i, p) for i, p in wanted):
                return
        raise CannotRun("no free loopback ports")

    def is_free(self, host, port):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((self.ip(host), port))
            return True
        except OSError:
            return False
        finally:
            s.close()

    def ip(self, host):
        return "%s.%d" % (self.net, host)

    def label(self, address):
        return "host-%s" % address.split(".")[-1].split(":")[0]

    def control_ips(self):
        return [self.ip(1 + i) for i in range(self.nr_controls)]

    def entry_ips(self):
        return [self.ip(11 + i) for i in range(self.nr_entries)]

    # processes

    def write_settings(self, name, ip, zone, serves, bootstrap, data):
        listen = {}
        if "control" in serves:
            listen["control"] = "%s:%d" % (ip, self.ports["control"])
        if "front" in serves:
            listen["front"] = "%s:%d" % (ip, self.ports["front"])
            listen["ready_addr"] = "%s:%d" % (ip, self.ports["ready"])
        values = {
            "node_name": name,
            "zone": zone,
            "ip": ip,
            "internal_ports": [self.ports["internal"], self.ports["internal"] + 15],
            "seeds": ["%s:%d" % (c, self.ports["control"]) for c in self.control_ips()[:3]],
            "bootstrap": bootstrap,
            "bounds": {"grace_s": 6},
            "fault_tolerance": {"machines": (self.nr_controls - 1) // 2},
            "cloud_api": {"address": "%s:%d" % (self.ip(40), self.ports["platform"])},
            "listen": listen,
            "limits": {"memory_mb": 260, "max_fds": 1000},
            "data_dir": data,
        }
        if not data:
            del values["data_dir"]
        with open(os.path.join(ROOT, "deploy/node.conf"), encoding="utf-8") as f:
            text = render(f.read(), values)
        path = os.path.join(self.temporary, name + ".conf")
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        return path

    def make_process(self, name, program, ip, zone, serves, data, bootstrap=True):
        settings = self.write_settings(name, ip, zone, serves, bootstrap, data)
        p = Process(self, name, program, settings, os.path.join(self.temporary, name + ".log"))
        p.args = (name, ip, zone, serves, data)
        p.ip = ip
        self.processes.append(p)
        return p

    async def start_system(self):
        for program in (ENTRY, CONTROL):
            if not os.access(os.path.join(ROOT, program), os.X_OK):
                raise CannotRun("%s is not built" % program)
        self.platform = await asyncio.start_server(
            self.serve_platform, self.ip(40), self.ports["platform"]
        )
        self.controls = []
        self.entries = []
        self.live_controls = self.control_ips()
        for i, ip in enumerate(self.control_ips()):
            data = os.path.join(self.temporary, "disk-%d" % i)
            os.mkdir(data)
            self.controls.append(
                self.make_process(
                    "core-%d" % i, CONTROL, ip, self.zones[i % 3], ["control"], data
                )
            )
        for i, ip in enumerate(self.entry_ips()):
            self.entries.append(
                self.make_process("front-%d" % i, ENTRY, ip, self.zones[i % 3], ["front"], None)
            )
        await asyncio.gather(*(p.start() for p in self.processes))

    async def restart(self, p):
        """Starts a process again; bootstrap is false then, as DEPLOY.md says."""
        name, ip, zone, serves, data = p.args
        p.settings = self.write_settings(name, ip, zone, serves, False, data)
        await p.start()

    async def stop_all(self):
        for p in self.processes:
            if p.running():
                p.child.send_signal(signal.SIGCONT)
                p.child.send_signal(signal.SIGKILL)
        for p in self.processes:
            await p.wait()

    def finish(self):
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)

    # HTTP

    async def http(self, ip, method, path, body=None, timeout_s=1.0, port=None):
        """Return: status (0 without an answer) and body."""
        data = b"" if body is None else json.dumps(body).encode()
        host = ip
        for _ in range(3):
            try:
                status, headers, text = await asyncio.wait_for(
                    self.http_once(host, port or self.ports["control"], method, path, data),
                    timeout_s,
                )
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
                return 0, b""
            if status != 307:
                return status, text
            host = re.match(r"http://([\d.]+):", headers.get("location", "")).group(1)
        return status, text

    async def http_once(self, host, port, method, path, data):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                (
                    "%s %s HTTP/1.1\r\nHost: %s:%d\r\nContent-Type: application/json\r\n"
                    "Content-Length: %d\r\nConnection: close\r\n\r\n"
                    % (method, path, host, port, len(data))
                ).encode()
                + data
            )
            return await self.read_response(reader)
        finally:
            writer.transport.abort()

    async def read_response(self, reader):
        status = int((await reader.readline()).split()[1])
        headers = {}
        while True:
            line = (await reader.readline()).decode().strip()
            if not line:
                break
            key, value = line.split(":", 1)
            headers[key.lower()] = value.strip()
        text = await reader.readexactly(int(headers.get("content-length", 0)))
        return status, headers, text

    async def serve_platform(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                headers = {}
                while True:
                    h = (await reader.readline()).decode().strip()
                    if not h:
                        break
                    key, value = h.split(":", 1)
                    headers[key.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status = await self.handle_order(json.loads(body), headers)
                if status is None:
                    return
                writer.write(
                    ("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status).encode()
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    def carry_out(self, service, db, token):
        if token < self.duty_fence.get(service.name, 0) or not db or not db.running:
            return 409
        self.duty_fence[service.name] = token
        if service.primary is db:
            return 200
        asyncio.create_task(service.promote(db))
        return 200

    async def handle_order(self, body, headers):
        """Return: the status, None for no answer."""
        service = self.services[body["service"]]
        db = next((d for d in service.databases if d.id == body["id"]), None)
        token = int(headers["x-comfreywheel-fencing-token"])
        holder = headers["x-comfreywheel-duty-holder"]
        what = "order of %s: promote %s of %s, token %d" % (holder, body["id"], service.name, token)
        if not self.platform_up:
            self.record(what + ": the platform is down, no answer")
            await asyncio.sleep(1.5)
            return None
        if self.late_orders is not None:
            delay_s = self.late_orders
            self.record(what + ": no answer, carried out %.1f s later" % delay_s)
            self.orders.append((service.name, body["id"], 0))
            asyncio.get_running_loop().call_later(
                delay_s, self.carry_out_late, service, db, token, what
            )
            if self.on_late:
                self.on_late()
            await asyncio.sleep(1.5)
            return None
        status = self.carry_out(service, db, token)
        self.record("%s: %d" % (what, status))
        self.orders.append((service.name, body["id"], status))
        return status

    def carry_out_late(self, service, db, token, what):
        self.record("%s: carried out late: %d" % (what, self.carry_out(service, db, token)))

    # the operator

    async def put_config(self, config):
        for _ in range(60):
            for ip in self.control_ips():
                status, _ = await self.http(ip, "POST", "/comfreywheel/config/put", config, 2.0)
                if status == 200:
                    self.record("configuration %d is acknowledged" % config["version"])
                    return
                if 400 <= status < 500:
                    raise CannotRun("configuration refused with %d" % status)
            await asyncio.sleep(0.1)
        raise CannotRun("no configuration was acknowledged")

    def config(self, version, routes):
        return {
            "version": version,
            "routes": [
                {
                    "name": "r-%s" % name,
                    "database": name,
                    "path_prefix": "/",
                    "route_type": kind,
                    "timeout_ms": 1200,
                    "target_latency_ms": 200,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                    "max_staleness_ms": 1500,
                }
                for name, kind, service in routes
            ],
            "services": [
                {
                    "name": s.name,
                    "health_path": "/health",
                    "max_conns": 16,
                    "protocol": "h1",
                    "tls": False,
                    "sync_replicas": s.sync,
                }
                for s in self.services.values()
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tx_idle_ms": 3000,
            },
        }

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for ip in self.entry_ips():
            while True:
                status, _ = await self.http(
                    ip, "GET", "/comfreywheel/ready", port=self.ports["ready"]
                )
                if status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("%s does not become ready" % self.label(ip))
                await asyncio.sleep(0.1)

    # what is judged

    def trace(self, text):
        if self.tracing:
            self.record(text)

    def broken(self, rule, text):
        self.record("BROKEN %s: %s" % (rule, text))
        self.breaks.append((rule, text))

    def on_commit(self, db, ident, commit):
        self.commits.setdefault(ident, []).append(commit)

    def on_read(self, db, conn, ident, item):
        pass

    def on_promote(self, service, db):
        """Return: acknowledged commits that the promoted database lacks."""
        have = set(map(id, db.log))
        lost = set()
        for ident, commits in self.commits.items():
            for c in commits:
                if c.acked_at and c.service is service and id(c) not in have:
                    lost.add(c)
        lost = sorted(lost, key=lambda c: c.number)
        if lost and service.sync:
            self.broken(
                "LOST",
                "%s is promoted without %d commits that were acknowledged to clients, "
                "%d.%d (statement %s) to %d.%d"
                % (
                    db.id,
                    len(lost),
                    lost[0].term,
                    lost[0].number,
                    lost[0].ids[0],
                    lost[-1].term,
                    lost[-1].number,
                ),
            )
        return len(lost)


class Client:
    """A session of a client."""

    serial = 0

    def __init__(self, lab, service, ip, database):
        self.lab = lab
        self.service = service
        self.ip = ip
        self.database = database
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.ip, self.lab.ports["front"], limit=4 << 20
        )
        self.writer.write(("START %s u1\r\n" % self.database).encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        if not line.startswith(b"READY"):
            raise ConnectionError(line.decode(errors="replace"))

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.writer = None

    @staticmethod
    def new_id():
        Client.serial += 1
        return "%08x%08x" % (random.getrandbits(32), Client.serial)

    async def query(self, text, ident=None, timeout_s=3.0):
        """Return: id, lines before READY, the READY line."""
        ident = ident or self.new_id()
        self.writer.write(("QUERY %s %s\r\n" % (ident, text)).encode())
        lines = []
        while True:
            raw = await asyncio.wait_for(self.reader.readline(), timeout_s)
            if not raw:
                raise ConnectionError("closed")
            line = raw.decode().rstrip("\r\n")
            if line.startswith("READY"):
                return ident, lines, line
            lines.append(line)


async def write_loop(lab, client_of, pause_s, counts):
    """Single writes, one after the other, on a session that reconnects."""
    client = None
    while True:
        try:
            if client is None or client.writer is None:
                client = client_of()
                await client.connect()
            ident = Client.new_id()
            text = "WRITE item%d v%s" % (random.randint(0, 9), ident)
            ident, lines, _ = await client.query(text, ident)
            answer = lines[-1] if lines else "nothing"
            if answer.startswith("DONE"):
                for c in lab.commits.get(ident, []):
                    c.acked_at = time.monotonic()
                counts["done"] = counts.get("done", 0) + 1
                lab.record("client: %s %s -> %s" % (ident, text[:14], answer))
            else:
                code = answer.split(" ")[1] if " " in answer else answer
                counts[code] = counts.get(code, 0) + 1
                lab.record("client: %s %s -> %s" % (ident, text[:14], answer[:60]))
        except (ConnectionError, asyncio.TimeoutError, OSError) as error:
            counts["broken"] = counts.get("broken", 0) + 1
            lab.record("client: connection ends (%s)" % type(error).__name__)
            if client:
                client.close()
            client = None
            await asyncio.sleep(0.1)
        await asyncio.sleep(pause_s)


async def read_loop(lab, client_of, pause_s, counts):
    """Single reads, one after the other, on a session that reconnects."""
    client = None
    while True:
        try:
            if client is None:
                client = client_of()
                await client.connect()
            _, lines, _ = await client.query("READ item%d" % random.randint(0, 9))
            key = "read" if lines and lines[-1].startswith("DONE") else "read refused"
            counts[key] = counts.get(key, 0) + 1
        except (ConnectionError, asyncio.TimeoutError, OSError):
            counts["read broken"] = counts.get("read broken", 0) + 1
            client.close()
            client = None
            await asyncio.sleep(0.1)
        await asyncio.sleep(pause_s)


def run_case(folder, play, limit_s=110, **kwargs):
    """Plays @play(lab, trouble). Exits with 1 if a rule was broken, 0 if not, 2
    if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        lab = Lab(folder, **kwargs)
        try:
            await asyncio.wait_for(play(lab, trouble), limit_s)
            result = 1 if lab.breaks else 0
        except CannotRun as error:
            lab.record("cannot run: %s" % error)
            result = 2
        except asyncio.TimeoutError:
            lab.record("cannot run: the time is over")
            result = 2
        finally:
            await lab.stop_all()
            lab.finish()
        lab.record("exit %d" % result)
        lab.record.close()
        return result

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    task = loop.create_task(main())
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        result = loop.run_until_complete(task)
    except asyncio.CancelledError:
        result = 2
    sys.stdout.flush()
    os._exit(result)
