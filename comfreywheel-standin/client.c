#include "standin.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Delay between two bytes of a slow answer. */
#define SLOW_BYTE_US 1000000

static void free_portal(void *data)
{
	struct portal *p = data;

	g_free(p->sql);
	if (p->values)
		g_ptr_array_free(p->values, TRUE);
	g_free(p);
}

void client_close(struct client *c)
{
	struct standin *s = c->server;

	if (c->closed)
		return;
	c->closed = true;
	ev_io_stop(s->loop, &c->reader);
	ev_io_stop(s->loop, &c->writer);
	timer_cancel(&s->timers, &c->timer);
	timer_cancel(&s->timers, &c->slow_timer);
	g_queue_remove(s->waiting, c);
	sqlite3_finalize(c->stmt);
	c->stmt = NULL;
	g_hash_table_destroy(c->portals);
	g_hash_table_destroy(c->statements);
	sqlite3_close_v2(c->db);
	execute_release_slot(c);
	close(c->fd);
	pg_buffer_finish(&c->in);
	pg_buffer_finish(&c->out);
	g_string_free(c->transaction, TRUE);
	g_free(c->sql);
	g_ptr_array_remove(s->clients, c);
	if (c->state == CLIENT_READY)
		s->connections--;
	g_ptr_array_add(s->closed_clients, c);
}

static void on_slow_byte(int64_t now_us, void *data)
{
	struct client *c = data;

	c->slow_timer = TIMER_NONE;
	client_flush(c);
}

void client_flush(struct client *c)
{
	struct standin *s = c->server;
	ssize_t n;

	if (c->closed)
		return;
	while (pg_buffer_length(&c->out) && c->slow_timer == TIMER_NONE) {
		n = write(c->fd, pg_buffer_head(&c->out),
			  c->slow ? 1 : pg_buffer_length(&c->out));
		if (n < 0 && errno == EAGAIN) {
			ev_io_start(s->loop, &c->writer);
			return;
		}
		if (n < 0) {
			client_close(c);
			return;
		}
		pg_buffer_consume(&c->out, n);
		if (c->slow && pg_buffer_length(&c->out))
			c->slow_timer = timer_subscribe(
				&s->timers, standin_now(s) + SLOW_BYTE_US, 0,
				on_slow_byte, c);
	}
	ev_io_stop(s->loop, &c->writer);
	if (!pg_buffer_length(&c->out) && c->paused) {
		c->paused = false;
		execute_resume_later(c);
	}
}

static void on_writable(struct ev_loop *loop, ev_io *w, int events)
{
	struct client *c = w->data;

	client_flush(c);
	if (!c->closed && c->state == CLIENT_REPLICA)
		replication_ship(c);
}

static void cancel(struct standin *s, uint32_t pid, uint32_t secret)
{
	struct client *c;
	guint i;

	for (i = 0; i < s->clients->len; i++) {
		c = g_ptr_array_index(s->clients, i);
		if (c->pid == pid && c->secret == secret && c->busy)
			c->cancelled = true;
	}
}

static bool open_session(struct client *c)
{
	struct standin *s = c->server;
	char *path = g_strdup_printf("%s/%s.db", s->options.data_folder,
				     s->options.name);
	int rc = sqlite3_open(path, &c->db);

	g_free(path);
	if (rc != SQLITE_OK)
		return false;
	functions_register(s, c->db);
	return true;
}

static void greet(struct client *c)
{
	struct standin *s = c->server;
	size_t begin = pg_frame_begin(&c->out, 'R');

	pg_put_u32(&c->out, 0);
	pg_frame_end(&c->out, begin);
	pg_put_parameter_status(&c->out, "server_version", "15.0");
	pg_put_parameter_status(&c->out, "server_encoding", "UTF8");
	pg_put_parameter_status(&c->out, "client_encoding", "UTF8");
	pg_put_parameter_status(&c->out, "standard_conforming_strings", "on");
	c->pid = s->next_pid++;
	c->secret = g_str_hash(s->options.name) ^ (c->pid * 2654435761u);
	begin = pg_frame_begin(&c->out, 'K');
	pg_put_u32(&c->out, c->pid);
	pg_put_u32(&c->out, c->secret);
	pg_frame_end(&c->out, begin);
	pg_put_ready(&c->out, 'I');
}

/* Returns false when the connection is gone. */
static bool startup(struct client *c, const struct pg_frame *f)
{
	struct standin *s = c->server;
	struct pg_reader r;
	uint32_t code, pid;

	pg_reader_init(&r, f->payload, f->payload_len);
	code = pg_read_u32(&r);
	if (code == PG_SSL_REQUEST_CODE || code == PG_GSSENC_REQUEST_CODE) {
		pg_put_u8(&c->out, 'N');
		return true;
	}
	if (code == PG_CANCEL_REQUEST_CODE) {
		pid = pg_read_u32(&r);
		cancel(s, pid, pg_read_u32(&r));
		client_close(c);
		return false;
	}
	if (code != PG_PROTOCOL_3_0 || !open_session(c)) {
		client_close(c);
		return false;
	}
	if ((int)s->connections >= s->options.max_connections) {
		pg_put_error(&c->out, "FATAL", "53300",
			     "sorry, too many clients already",
			     "open fewer connections to this database");
		client_flush(c);
		client_close(c);
		return false;
	}
	c->state = CLIENT_READY;
	s->connections++;
	s->peak_connections = MAX(s->peak_connections, s->connections);
	greet(c);
	return true;
}

static void bad_message(struct client *c, const char *text)
{
	pg_put_error(&c->out, "ERROR", "08P01", text,
		     "send messages of protocol version 3.0");
	c->skip_to_sync = true;
}

static void parse(struct client *c, struct pg_reader *r)
{
	const char *name = pg_read_string(r);
	const char *sql = pg_read_string(r);
	size_t begin;

	if (r->failed) {
		bad_message(c, "truncated Parse message");
		return;
	}
	g_hash_table_replace(c->statements, g_strdup(name), g_strdup(sql));
	begin = pg_frame_begin(&c->out, '1');
	pg_frame_end(&c->out, begin);
}

static void bind_values(struct portal *p, struct pg_reader *r)
{
	unsigned i, nr = pg_read_u16(r);
	const uint8_t *bytes;
	uint32_t len;

	for (i = 0; i < nr; i++)
		pg_read_u16(r);
	nr = pg_read_u16(r);
	for (i = 0; i < nr && !r->failed; i++) {
		len = pg_read_u32(r);
		bytes = len == UINT32_MAX ? NULL : pg_read_bytes(r, len);
		g_ptr_array_add(p->values,
				bytes ? g_strndup((const char *)bytes, len) :
					NULL);
	}
}

static void bind_portal(struct client *c, struct pg_reader *r)
{
	const char *name = pg_read_string(r);
	const char *sql = g_hash_table_lookup(c->statements, pg_read_string(r));
	struct portal *p;
	size_t begin;

	if (!sql || r->failed) {
		bad_message(c, "prepared statement does not exist");
		return;
	}
	p = g_new0(struct portal, 1);
	p->sql = g_strdup(sql);
	p->values = g_ptr_array_new_with_free_func(g_free);
	bind_values(p, r);
	if (r->failed) {
		free_portal(p);
		bad_message(c, "truncated Bind message");
		return;
	}
	g_hash_table_replace(c->portals, g_strdup(name), p);
	begin = pg_frame_begin(&c->out, '2');
	pg_frame_end(&c->out, begin);
}

static void describe(struct client *c, struct pg_reader *r)
{
	char kind = pg_read_u8(r);
	const char *name = pg_read_string(r);
	const struct portal *p;
	const char *sql;

	if (kind == 'S') {
		sql = g_hash_table_lookup(c->statements, name);
	} else {
		p = g_hash_table_lookup(c->portals, name);
		sql = p ? p->sql : NULL;
	}
	if (!sql) {
		bad_message(c, "nothing to describe");
		return;
	}
	execute_describe(c, sql, kind == 'S');
}

static void close_named(struct client *c, struct pg_reader *r)
{
	char kind = pg_read_u8(r);
	size_t begin;

	g_hash_table_remove(kind == 'S' ? c->statements : c->portals,
			    pg_read_string(r));
	begin = pg_frame_begin(&c->out, '3');
	pg_frame_end(&c->out, begin);
}

static void execute(struct client *c, struct pg_reader *r)
{
	struct portal *p = g_hash_table_lookup(c->portals, pg_read_string(r));

	if (!p) {
		bad_message(c, "portal does not exist");
		return;
	}
	execute_start(c, p->sql, p);
}

static void simple_query(struct client *c, struct pg_reader *r)
{
	const char *sql = pg_read_string(r);
	unsigned term;
	unsigned long long from;

	if (sscanf(sql, "STANDIN REPLICATE %u %llu", &term, &from) == 2) {
		c->state = CLIENT_REPLICA;
		c->shipped = from;
		c->server->connections--;
		if (!replication_contains(c->server, term, from))
			pg_put_error(&c->out, "FATAL", "XX000",
				     "requested log position is not part of "
				     "this server's history",
				     "rebuild the replica");
		else
			replication_ship(c);
		return;
	}
	execute_start(c, sql, NULL);
}

static void sync_point(struct client *c)
{
	c->skip_to_sync = false;
	pg_put_ready(&c->out, c->failed ? 'E' : c->in_transaction ? 'T' : 'I');
}

/* Returns false when the connection is gone. */
static bool dispatch(struct client *c, const struct pg_frame *f)
{
	struct pg_reader r;

	pg_reader_init(&r, f->payload, f->payload_len);
	if (f->type == 'X') {
		client_close(c);
		return false;
	}
	if (f->type == 'S') {
		sync_point(c);
		return true;
	}
	if (c->skip_to_sync)
		return true;
	if (f->type == 'Q')
		simple_query(c, &r);
	else if (f->type == 'P')
		parse(c, &r);
	else if (f->type == 'B')
		bind_portal(c, &r);
	else if (f->type == 'D')
		describe(c, &r);
	else if (f->type == 'E')
		execute(c, &r);
	else if (f->type == 'C')
		close_named(c, &r);
	else if (f->type != 'H')
		bad_message(c, "unknown message type");
	return true;
}

/* Keeps the frame alive while a handler may start to execute it. */
static bool handle_one(struct client *c, bool *more)
{
	struct pg_buffer frame_copy;
	struct pg_frame f;
	enum pg_frame_status status;
	bool alive;

	*more = false;
	if (c->state == CLIENT_STARTUP)
		status = pg_frame_peek_startup(pg_buffer_head(&c->in),
					       pg_buffer_length(&c->in), &f);
	else
		status = pg_frame_peek(pg_buffer_head(&c->in),
				       pg_buffer_length(&c->in),
				       PG_FRAME_MAX_BYTES, &f);
	if (status == PG_FRAME_INCOMPLETE)
		return true;
	if (status == PG_FRAME_INVALID) {
		client_close(c);
		return false;
	}
	pg_buffer_init(&frame_copy);
	pg_buffer_append(&frame_copy, f.payload, f.payload_len);
	f.payload = frame_copy.data;
	pg_buffer_consume(&c->in, f.frame_len);
	*more = true;
	alive = c->state == CLIENT_STARTUP ? startup(c, &f) : dispatch(c, &f);
	pg_buffer_finish(&frame_copy);
	return alive;
}

void client_process(struct client *c)
{
	bool more = true;

	while (more && !c->closed && !c->busy && c->state != CLIENT_REPLICA) {
		if (!handle_one(c, &more))
			return;
	}
	client_flush(c);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct client *c = w->data;
	ssize_t n;

	n = read(c->fd, pg_buffer_reserve(&c->in, 16384), 16384);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		client_close(c);
		return;
	}
	pg_buffer_commit(&c->in, n);
	if (!c->busy)
		client_process(c);
}

void client_accept(struct standin *s, int fd)
{
	struct client *c = g_new0(struct client, 1);

	c->server = s;
	c->fd = fd;
	c->timer = c->slow_timer = TIMER_NONE;
	pg_buffer_init(&c->in);
	pg_buffer_init(&c->out);
	c->transaction = g_string_new(NULL);
	c->statements =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_portal);
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_io_init(&c->writer, on_writable, fd, EV_WRITE);
	c->reader.data = c->writer.data = c;
	ev_io_start(s->loop, &c->reader);
	g_ptr_array_add(s->clients, c);
}
