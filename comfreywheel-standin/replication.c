#include "error.h"
#include "log.h"
#include "net.h"
#include "standin.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Log position of an empty database; PostgreSQL's first segment is 16 MiB. */
#define FIRST_LSN 0x1000000ull
/* Log bytes of a record besides its text. */
#define RECORD_OVERHEAD 32
#define RECONNECT_US 200000
#define SHIP_BATCH 64

struct replication_link {
	struct standin *server;
	int fd;
	ev_io reader;
	ev_io writer;
	struct pg_buffer in;
	struct pg_buffer out;
};

static void free_record(void *data)
{
	struct log_record *r = data;

	g_free(r->sql);
	g_free(r);
}

static char *database_path(const struct standin *s)
{
	return g_strdup_printf("%s/%s.db", s->options.data_folder,
			       s->options.name);
}

static int64_t query_number(sqlite3 *db, const char *sql, int64_t fallback)
{
	sqlite3_stmt *stmt;
	int64_t value = fallback;

	if (sqlite3_prepare_v2(db, sql, -1, &stmt, NULL))
		return fallback;
	if (sqlite3_step(stmt) == SQLITE_ROW &&
	    sqlite3_column_type(stmt, 0) != SQLITE_NULL)
		value = sqlite3_column_int64(stmt, 0);
	sqlite3_finalize(stmt);
	return value;
}

static void queue_record(struct standin *s, uint64_t end, uint32_t term,
			 const char *sql, int64_t due_us)
{
	struct log_record *r = g_new0(struct log_record, 1);

	r->end = end;
	r->term = term;
	r->sql = g_strdup(sql);
	r->due_us = due_us;
	g_queue_push_tail(s->unreplayed, r);
}

/* Queues what was received before a restart and not replayed. */
static void load_unreplayed(struct standin *s)
{
	sqlite3_stmt *stmt;

	if (sqlite3_prepare_v2(s->replay_db,
			       "SELECT end, term, sql FROM standin_log "
			       "WHERE end > ? ORDER BY end",
			       -1, &stmt, NULL))
		return;
	sqlite3_bind_int64(stmt, 1, s->replayed);
	while (sqlite3_step(stmt) == SQLITE_ROW)
		queue_record(s, sqlite3_column_int64(stmt, 0),
			     sqlite3_column_int(stmt, 1),
			     (const char *)sqlite3_column_text(stmt, 2), 0);
	sqlite3_finalize(stmt);
}

static bool replication_reopen(struct standin *s, GError **error)
{
	char *path = database_path(s);
	int rc = sqlite3_open(path, &s->replay_db);

	if (!rc)
		rc = sqlite3_exec(
			s->replay_db,
			"PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;"
			"CREATE TABLE IF NOT EXISTS standin_log("
			"end INTEGER PRIMARY KEY, term INTEGER, sql TEXT);"
			"CREATE TABLE IF NOT EXISTS standin_replayed("
			"one INTEGER PRIMARY KEY, end INTEGER);",
			NULL, NULL, NULL);
	if (rc) {
		g_set_error(error, CW_ERROR, CW_ERROR_IO,
			    "cannot open %s: %s; choose a writable "
			    "--data-folder",
			    path, sqlite3_errmsg(s->replay_db));
		g_free(path);
		return false;
	}
	g_free(path);
	sqlite3_busy_timeout(s->replay_db, 1000);
	s->unreplayed = g_queue_new();
	s->term = query_number(s->replay_db,
			       "SELECT max(term) FROM standin_log", 1);
	s->written = query_number(
		s->replay_db, "SELECT max(end) FROM standin_log", FIRST_LSN);
	s->replayed = query_number(
		s->replay_db, "SELECT end FROM standin_replayed", FIRST_LSN);
	load_unreplayed(s);
	return true;
}

bool replication_open(struct standin *s, GError **error)
{
	s->in_recovery = s->options.follow != NULL;
	s->follow = g_strdup(s->options.follow);
	return replication_reopen(s, error);
}

void replication_finish(struct standin *s)
{
	replication_unfollow(s);
	g_queue_free_full(s->unreplayed, free_record);
	sqlite3_close_v2(s->replay_db);
	g_free(s->follow);
	g_free(s->configured_follow);
}

static bool insert_log(sqlite3 *db, uint64_t end, uint32_t term,
		       const char *sql)
{
	sqlite3_stmt *stmt;
	int rc;

	if (sqlite3_prepare_v2(db, "INSERT INTO standin_log VALUES(?, ?, ?)",
			       -1, &stmt, NULL))
		return false;
	sqlite3_bind_int64(stmt, 1, end);
	sqlite3_bind_int(stmt, 2, term);
	sqlite3_bind_text(stmt, 3, sql, -1, SQLITE_STATIC);
	rc = sqlite3_step(stmt);
	sqlite3_finalize(stmt);
	return rc == SQLITE_DONE;
}

static bool note_replayed(sqlite3 *db, uint64_t end)
{
	sqlite3_stmt *stmt;
	int rc;

	if (sqlite3_prepare_v2(
		    db, "INSERT OR REPLACE INTO standin_replayed VALUES(1, ?)",
		    -1, &stmt, NULL))
		return false;
	sqlite3_bind_int64(stmt, 1, end);
	rc = sqlite3_step(stmt);
	sqlite3_finalize(stmt);
	return rc == SQLITE_DONE;
}

bool replication_log(struct standin *s, sqlite3 *db, const char *sql,
		     uint64_t *end)
{
	*end = s->written + strlen(sql) + RECORD_OVERHEAD;
	return insert_log(db, *end, s->term, sql) && note_replayed(db, *end);
}

void replication_committed(struct standin *s, uint64_t end)
{
	s->written = s->replayed = end;
	replication_ship_all(s);
}

void replication_ship_all(struct standin *s)
{
	struct client *c;
	guint i;

	for (i = 0; i < s->clients->len; i++) {
		c = g_ptr_array_index(s->clients, i);
		if (c->state == CLIENT_REPLICA)
			replication_ship(c);
	}
}

bool replication_contains(struct standin *s, uint32_t term, uint64_t end)
{
	char sql[128];

	if (end == FIRST_LSN)
		return true;
	g_snprintf(sql, sizeof(sql),
		   "SELECT term FROM standin_log WHERE end = %llu",
		   (unsigned long long)end);
	return query_number(s->replay_db, sql, 0) == term;
}

static void put_text(struct pg_buffer *out, const char *text)
{
	pg_put_u32(out, strlen(text));
	pg_buffer_append(out, text, strlen(text));
}

static void put_record(struct client *c, sqlite3_stmt *stmt)
{
	size_t begin = pg_frame_begin(&c->out, 'D');

	pg_put_u16(&c->out, 3);
	put_text(&c->out, (const char *)sqlite3_column_text(stmt, 0));
	put_text(&c->out, (const char *)sqlite3_column_text(stmt, 1));
	put_text(&c->out, (const char *)sqlite3_column_text(stmt, 2));
	pg_frame_end(&c->out, begin);
	c->shipped = sqlite3_column_int64(stmt, 0);
}

void replication_ship(struct client *c)
{
	struct standin *s = c->server;
	sqlite3_stmt *stmt;
	int nr;

	if (s->faults[FAULT_CUT_REPLICATION] || c->shipped >= s->written)
		return;
	if (sqlite3_prepare_v2(s->replay_db,
			       "SELECT end, term, sql FROM standin_log "
			       "WHERE end > ? ORDER BY end LIMIT ?",
			       -1, &stmt, NULL))
		return;
	do {
		nr = 0;
		sqlite3_bind_int64(stmt, 1, c->shipped);
		sqlite3_bind_int(stmt, 2, SHIP_BATCH);
		while (sqlite3_step(stmt) == SQLITE_ROW) {
			put_record(c, stmt);
			nr++;
		}
		sqlite3_reset(stmt);
	} while (nr == SHIP_BATCH &&
		 pg_buffer_length(&c->out) < STANDIN_OUTPUT_MAX);
	sqlite3_finalize(stmt);
	client_flush(c);
}

static void replay(struct standin *s, const struct log_record *r)
{
	char *message = NULL;
	sqlite3 *db = s->replay_db;

	sqlite3_exec(db, "BEGIN IMMEDIATE", NULL, NULL, NULL);
	if (sqlite3_exec(db, r->sql, NULL, NULL, &message) ||
	    !note_replayed(db, r->end))
		log_error("replay of a log record failed: %s",
			  message ? message : sqlite3_errmsg(db));
	sqlite3_exec(db, "COMMIT", NULL, NULL, NULL);
	sqlite3_free(message);
	s->replayed = r->end;
}

static void on_replay(int64_t now_us, void *data)
{
	struct standin *s = data;
	struct log_record *r;

	while ((r = g_queue_peek_head(s->unreplayed)) && r->due_us <= now_us) {
		g_queue_pop_head(s->unreplayed);
		replay(s, r);
		free_record(r);
	}
}

static void receive_record(struct standin *s, struct pg_reader *r)
{
	int64_t due = standin_now(s) + s->faults[FAULT_LAG] * 1000;
	char *text[3];
	uint32_t len;
	uint64_t end;
	int i;

	pg_read_u16(r);
	for (i = 0; i < 3; i++) {
		len = pg_read_u32(r);
		text[i] = g_strndup((const char *)pg_read_bytes(r, len), len);
	}
	end = r->failed ? 0 : g_ascii_strtoull(text[0], NULL, 10);
	if (!r->failed && end > s->written &&
	    insert_log(s->replay_db, end, atoi(text[1]), text[2])) {
		s->written = end;
		s->term = atoi(text[1]);
		queue_record(s, end, s->term, text[2], due);
		timer_subscribe(&s->timers, due, 0, on_replay, s);
	}
	for (i = 0; i < 3; i++)
		g_free(text[i]);
}

static void on_reconnect(int64_t now_us, void *data)
{
	struct standin *s = data;

	if (s->in_recovery && !s->link)
		replication_follow(s);
}

void replication_unfollow(struct standin *s)
{
	struct replication_link *l = s->link;

	if (!l)
		return;
	s->link = NULL;
	ev_io_stop(s->loop, &l->reader);
	ev_io_stop(s->loop, &l->writer);
	close(l->fd);
	pg_buffer_finish(&l->in);
	pg_buffer_finish(&l->out);
	g_free(l);
}

static void reconnect_later(struct standin *s)
{
	replication_unfollow(s);
	timer_subscribe(&s->timers, standin_now(s) + RECONNECT_US, 0,
			on_reconnect, s);
}

/*
 * The primary's log does not contain ours: this was a primary of an older
 * term and wrote past the switch. Starts again from an empty database, as a
 * host's operator would with pg_rewind or a new base backup.
 */
static void rebuild(struct standin *s)
{
	char *path = database_path(s);
	char *wal = g_strconcat(path, "-wal", NULL);
	char *shm = g_strconcat(path, "-shm", NULL);
	GError *error = NULL;

	log_notice("log diverged from the primary's, rebuilding");
	while (s->clients->len)
		client_close(g_ptr_array_index(s->clients, 0));
	g_queue_free_full(s->unreplayed, free_record);
	sqlite3_close_v2(s->replay_db);
	unlink(path);
	unlink(wal);
	unlink(shm);
	g_free(path);
	g_free(wal);
	g_free(shm);
	if (!replication_reopen(s, &error)) {
		log_error("%s", error->message);
		g_error_free(error);
		ev_break(s->loop, EVBREAK_ALL);
	}
}

static void on_link_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct replication_link *l = w->data;
	struct standin *s = l->server;
	struct pg_frame f;
	struct pg_reader r;
	ssize_t n;

	n = read(l->fd, pg_buffer_reserve(&l->in, 65536), 65536);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		reconnect_later(s);
		return;
	}
	pg_buffer_commit(&l->in, n);
	while (pg_frame_peek(pg_buffer_head(&l->in), pg_buffer_length(&l->in),
			     PG_FRAME_MAX_BYTES, &f) == PG_FRAME_READY) {
		pg_reader_init(&r, f.payload, f.payload_len);
		if (f.type == 'E') {
			reconnect_later(s);
			rebuild(s);
			return;
		}
		if (f.type == 'D')
			receive_record(s, &r);
		pg_buffer_consume(&l->in, f.frame_len);
	}
}

static void on_link_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct replication_link *l = w->data;
	ssize_t n;

	n = write(l->fd, pg_buffer_head(&l->out), pg_buffer_length(&l->out));
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		reconnect_later(l->server);
		return;
	}
	pg_buffer_consume(&l->out, n);
	if (!pg_buffer_length(&l->out))
		ev_io_stop(loop, w);
}

void replication_follow(struct standin *s)
{
	struct replication_link *l;
	char host[64];
	uint16_t port;
	char *sql;
	int fd;

	if (!s->in_recovery || !s->follow || s->link)
		return;
	fd = net_parse_address(s->follow, host, &port) ?
		     net_connect(host, port) :
		     -1;
	if (fd < 0) {
		reconnect_later(s);
		return;
	}
	l = g_new0(struct replication_link, 1);
	l->server = s;
	l->fd = fd;
	s->link = l;
	ev_io_init(&l->reader, on_link_readable, fd, EV_READ);
	ev_io_init(&l->writer, on_link_writable, fd, EV_WRITE);
	l->reader.data = l->writer.data = l;
	pg_put_startup(&l->out, "replication", s->options.database,
		       s->options.name);
	sql = g_strdup_printf("STANDIN REPLICATE %u %llu", s->term,
			      (unsigned long long)s->written);
	pg_put_query(&l->out, sql);
	g_free(sql);
	ev_io_start(s->loop, &l->reader);
	ev_io_start(s->loop, &l->writer);
}

bool replication_promote(struct standin *s)
{
	if (!s->in_recovery)
		return false;
	replication_unfollow(s);
	on_replay(INT64_MAX, s);
	s->in_recovery = false;
	s->term++;
	s->written += RECORD_OVERHEAD;
	s->replayed = s->written;
	if (!insert_log(s->replay_db, s->written, s->term, "") ||
	    !note_replayed(s->replay_db, s->written))
		log_error("cannot record term %u", s->term);
	log_notice("promoted, term %u", s->term);
	announcer_send(s->announcer);
	return true;
}
