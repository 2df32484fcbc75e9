#include "soak.h"

#include "net.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Connections that a database accepts. */
#define MAX_CONNECTIONS 8
/* Time between heartbeats, microseconds. */
#define HEARTBEAT_US (400 * 1000ll)

/**
 * struct soak_database - one simulated database of the replication group
 * @received: number of commits of the log that it has received
 * @applied: number of commits that its reads see
 * @lag_us: interval at which a replica applies what it has received
 * @down_us: it counts as crashed until this time
 * @silent_us: it answers no statement until this time
 */
struct soak_database {
	struct soak *soak;
	int number;
	char *id;
	char *address;
	uint32_t term;
	unsigned received;
	unsigned applied;
	int64_t lag_us;
	int64_t next_apply_us;
	int64_t down_us;
	int64_t silent_us;
	int64_t next_heartbeat_us;
	uint64_t sequence;
	int64_t born_ms;
	ev_io listener;
	GQueue sessions;
};

/**
 * struct db_session - one connection to a database
 * @read_write: whether the transaction was begun without READ
 * @failed: whether a statement of the transaction failed
 * @tx_term: term in which the transaction began
 * @owner: caller prefix of the statement ids in the current transaction
 * @writes: items and values of the transaction, alternating
 */
struct db_session {
	struct soak_database *db;
	struct stream stream;
	GList list_node;
	bool started;
	bool in_tx;
	bool read_write;
	bool failed;
	uint32_t tx_term;
	char *owner;
	GPtrArray *writes;
	GHashTable *prepared;
};

const char *database_id(const struct soak *soak, int index)
{
	return soak->databases[index]->id;
}

static void commit_free(void *data)
{
	struct soak_commit *c = data;

	g_free(c->item);
	g_free(c->value);
	g_free(c);
}

static void session_free(struct db_session *s)
{
	g_queue_unlink(&s->db->sessions, &s->list_node);
	stream_close(&s->stream);
	g_ptr_array_free(s->writes, TRUE);
	g_hash_table_destroy(s->prepared);
	g_free(s->owner);
	g_free(s);
}

static bool is_primary(const struct soak_database *db)
{
	return db->soak->primary == db->number;
}

static void append_reply(struct db_session *s, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void append_reply(struct db_session *s, const char *fmt, ...)
{
	g_autofree char *text = NULL;
	va_list ap;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	pg_buffer_append(&s->stream.out, text, strlen(text));
}

static void append_ready(struct db_session *s)
{
	struct soak_database *db = s->db;

	append_reply(s, "READY %s %u.%u\r\n",
		     !s->in_tx ? "I" :
		     s->failed ? "E" :
				 "T",
		     db->term, is_primary(db) ? db->received : db->applied);
}

static void append_error(struct db_session *s, const char *code)
{
	if (s->in_tx)
		s->failed = true;
	append_reply(s, "ERR %s %s\r\n", code, s->db->id);
	append_ready(s);
}

static void finish_tx(struct db_session *s)
{
	s->in_tx = false;
	s->failed = false;
	g_ptr_array_set_size(s->writes, 0);
	g_clear_pointer(&s->owner, g_free);
}

static void append_commit(struct soak_database *db, const char *item,
			  const char *value)
{
	struct soak *soak = db->soak;
	struct soak_commit *c = g_new0(struct soak_commit, 1);

	c->term = soak->term;
	c->item = g_strdup(item);
	c->value = g_strdup(value);
	if (g_hash_table_contains(soak->log_index_by_value, value))
		soak_report_violation(soak, "%s was committed twice", value);
	g_ptr_array_add(soak->log, c);
	g_hash_table_replace(soak->log_index_by_value, g_strdup(value),
			     GUINT_TO_POINTER(soak->log->len));
	db->received = db->applied = soak->log->len;
}

static const char *value_of(const struct soak_database *db, const char *item)
{
	unsigned i;

	for (i = is_primary(db) ? db->received : db->applied; i-- > 0;) {
		const struct soak_commit *c = db->soak->log->pdata[i];

		if (!strcmp(c->item, item))
			return c->value;
	}
	return "-";
}

/* All statements of one transaction must come from one caller. */
static bool check_owner(struct db_session *s, const char *id)
{
	g_autofree char *owner = g_strndup(id, strcspn(id, "-"));

	if (!strcmp(id, "-"))
		return true;
	if (s->in_tx && s->owner && strcmp(owner, s->owner))
		soak_report_violation(s->db->soak,
				      "%s was executed in a transaction of %s",
				      id, s->owner);
	if (s->in_tx && !s->owner)
		s->owner = g_steal_pointer(&owner);
	return true;
}

static void write_item(struct db_session *s, const char *item,
		       const char *value)
{
	if (!is_primary(s->db)) {
		append_error(s, "READONLY");
		return;
	}
	if (s->in_tx) {
		g_ptr_array_add(s->writes, g_strdup(item));
		g_ptr_array_add(s->writes, g_strdup(value));
	} else {
		append_commit(s->db, item, value);
	}
	append_reply(s, "DONE w.%s\r\n", value);
	append_ready(s);
}

static void commit_tx(struct db_session *s)
{
	guint i;

	if (!s->in_tx || s->failed ||
	    (s->writes->len &&
	     (!is_primary(s->db) || s->tx_term != s->db->term))) {
		finish_tx(s);
		append_error(s, "READONLY");
		return;
	}
	for (i = 0; i + 1 < s->writes->len; i += 2)
		append_commit(s->db, s->writes->pdata[i],
			      s->writes->pdata[i + 1]);
	finish_tx(s);
	append_reply(s, "DONE c.%u\r\n", s->db->received);
	append_ready(s);
}

static void begin_tx(struct db_session *s, bool read_write)
{
	if (read_write && !is_primary(s->db)) {
		append_error(s, "READONLY");
		return;
	}
	s->in_tx = true;
	s->read_write = read_write;
	s->tx_term = s->db->term;
	append_reply(s, "DONE -\r\n");
	append_ready(s);
}

static void append_status(struct db_session *s, const char *demote_term)
{
	struct soak_database *db = s->db;

	if (demote_term && is_primary(db) &&
	    (uint32_t)strtoul(demote_term, NULL, 10) > db->term) {
		db->soak->primary = -1;
		db->next_heartbeat_us = 0;
	}
	append_reply(s, "ROW %s %u %u.%u 0 0 1 1\r\nDONE -\r\n",
		     is_primary(db) ? "primary" : "replica", db->term, db->term,
		     db->received);
	append_ready(s);
}

/* Whether reads see the commit at @text, a position TERM.NUMBER. */
static bool has_applied(const struct soak_database *db, const char *text)
{
	unsigned term = 0, number = 0;

	if (sscanf(text, "%u.%u", &term, &number) != 2 || term > db->term)
		return false;
	return (is_primary(db) ? db->received : db->applied) >= number;
}

static void run_statement(struct db_session *s, char **words, const char *id)
{
	bool write_access_lost =
		s->in_tx && s->read_write &&
		(!is_primary(s->db) || s->tx_term != s->db->term);

	check_owner(s, id);
	if (words[0] && !strcmp(words[0], "AFTER") && words[1]) {
		if (!has_applied(s->db, words[1])) {
			append_error(s, "LAGGING");
			return;
		}
		words += 2;
	}
	if (!words[0])
		append_error(s, "MALFORMED");
	else if (!strcmp(words[0], "ROLLBACK") || !strcmp(words[0], "RESET")) {
		if (!strcmp(words[0], "ROLLBACK"))
			finish_tx(s);
		else
			g_hash_table_remove_all(s->prepared);
		append_reply(s, "DONE -\r\n");
		append_ready(s);
	} else if (!strcmp(words[0], "COMMIT"))
		commit_tx(s);
	else if (write_access_lost)
		append_error(s, "READONLY");
	else if (!strcmp(words[0], "BEGIN"))
		begin_tx(s, !words[1]);
	else if (!strcmp(words[0], "READ") && words[1]) {
		append_reply(s, "ROW %s\r\nDONE r\r\n",
			     value_of(s->db, words[1]));
		append_ready(s);
	} else if (!strcmp(words[0], "WRITE") && words[1] && words[2])
		write_item(s, words[1], words[2]);
	else if (!strcmp(words[0], "SET")) {
		append_reply(s, "DONE -\r\n");
		append_ready(s);
	} else if (!strcmp(words[0], "STATUS"))
		append_status(s, NULL);
	else if (!strcmp(words[0], "DEMOTE"))
		append_status(s, words[1]);
	else
		append_error(s, "MALFORMED");
}

static void process_line(struct db_session *s, const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	unsigned nr_words = g_strv_length(words);

	if (!s->started && nr_words == 4 && !strcmp(words[0], "START")) {
		if (strcmp(words[3], s->db->id))
			append_reply(s, "ERR MISROUTED other\r\n");
		else if (s->db->sessions.length > MAX_CONNECTIONS)
			append_reply(s, "ERR TOOMANY full\r\n");
		else
			s->started = true;
		if (s->started)
			append_ready(s);
		else
			stream_shutdown_output(&s->stream);
	} else if (s->started && nr_words >= 3 && !strcmp(words[0], "QUERY")) {
		run_statement(s, words + 2, words[1]);
	}
}

static void process_input(struct db_session *s)
{
	struct pg_buffer *in = &s->stream.in;

	if (soak_now_us() < s->db->silent_us)
		return;
	while (pg_buffer_length(in)) {
		const char *from = (const char *)pg_buffer_head(in);
		const char *end = memchr(from, '\n', pg_buffer_length(in));
		g_autofree char *line = NULL;

		if (!end)
			break;
		line = g_strndup(from, end - from - 1);
		pg_buffer_consume(in, end - from + 1);
		process_line(s, line);
	}
	stream_flush(&s->stream);
}

static void on_input(void *data)
{
	process_input(data);
}

static void on_closed(int err, void *data)
{
	session_free(data);
}

static const struct stream_events events = { .input = on_input,
					     .closed = on_closed };

static void on_accept(struct ev_loop *loop, ev_io *w, int revents)
{
	struct soak_database *db = w->data;
	int fd;

	while ((fd = net_accept(w->fd)) >= 0) {
		struct db_session *s;

		if (soak_now_us() < db->down_us) {
			close(fd);
			continue;
		}
		s = g_new0(struct db_session, 1);
		s->db = db;
		s->list_node.data = s;
		s->writes = g_ptr_array_new_with_free_func(g_free);
		s->prepared = g_hash_table_new(NULL, NULL);
		g_queue_push_tail_link(&db->sessions, &s->list_node);
		stream_init(&s->stream, loop, fd, false, &events, s);
	}
}

void database_close_connections(struct soak *soak, int index)
{
	struct soak_database *db = soak->databases[index];

	while (db->sessions.head)
		session_free(db->sessions.head->data);
}

void database_crash(struct soak *soak, int index, int64_t until_us)
{
	soak->databases[index]->down_us = until_us;
	database_close_connections(soak, index);
}

void database_stall(struct soak *soak, int index, int64_t until_us)
{
	soak->databases[index]->silent_us = until_us;
}

/* Commits that the promoted database has not received are rolled back. */
bool databases_promote(struct soak *soak, const char *id)
{
	int64_t now_us = soak_now_us();
	int i;

	for (i = 0; i < SOAK_NR_DATABASES; i++)
		if (!strcmp(soak->databases[i]->id, id))
			break;
	if (i == SOAK_NR_DATABASES || now_us < soak->databases[i]->down_us)
		return false;
	if (soak->primary == i)
		return true;
	soak->nr_promotions++;
	soak->primary = i;
	soak->term++;
	while (soak->log->len > soak->databases[i]->received) {
		struct soak_commit *c = soak->log->pdata[soak->log->len - 1];

		g_hash_table_add(soak->rolled_back, g_strdup(c->value));
		g_hash_table_remove(soak->log_index_by_value, c->value);
		g_ptr_array_set_size(soak->log, (int)soak->log->len - 1);
	}
	for (i = 0; i < SOAK_NR_DATABASES; i++) {
		struct soak_database *db = soak->databases[i];

		db->term = soak->term;
		db->received = MIN(db->received, soak->log->len);
		db->applied = MIN(db->applied, soak->log->len);
		db->next_heartbeat_us = 0;
	}
	return true;
}

static void on_heartbeat_done(long status, void *data)
{
}

static void send_heartbeat(struct soak_database *db)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	struct soak *soak = db->soak;
	const struct soak_process *control_vm =
		&soak->processes[soak_random_between(soak, 0, SOAK_NR_CONTROLS)];
	g_autofree char *url = g_strdup_printf(
		"http://%s:%d/comfreywheel/instances/%s/heartbeat",
		control_vm->ip, SOAK_PORT_CONTROL, db->id);
	g_autofree char *body = g_strdup_printf(
		"{\"service\":\"svc\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
		"\"cold_remaining_ms\":0,\"db_role\":\"%s\",\"sequence\":%lu,"
		"\"born\":%ld}",
		db->address, is_primary(db) ? "primary" : "replica",
		(unsigned long)++db->sequence, (long)db->born_ms);

	http_client_post(soak->http, url, headers, body, 900, on_heartbeat_done,
			 NULL);
}

static void database_tick(struct soak_database *db, int64_t now_us)
{
	struct soak *soak = db->soak;
	GList *at, *next;

	if (now_us < db->down_us)
		return;
	if (now_us >= db->next_heartbeat_us) {
		db->next_heartbeat_us = now_us + HEARTBEAT_US;
		send_heartbeat(db);
	}
	if (!is_primary(db) && now_us >= db->silent_us) {
		db->received = soak->log->len;
		if (now_us >= db->next_apply_us) {
			db->applied = db->received;
			db->next_apply_us = now_us + db->lag_us;
		}
	}
	for (at = db->sessions.head; at; at = next) {
		next = at->next;
		process_input(at->data);
	}
}

void databases_tick(struct soak *soak, int64_t now_us)
{
	int i;

	for (i = 0; i < SOAK_NR_DATABASES; i++)
		database_tick(soak->databases[i], now_us);
}

void databases_start(struct soak *soak)
{
	GError *error = NULL;
	int i;

	soak->term = 1;
	soak->log = g_ptr_array_new_with_free_func(commit_free);
	for (i = 0; i < SOAK_NR_DATABASES; i++) {
		struct soak_database *db = g_new0(struct soak_database, 1);
		int fd;

		soak->databases[i] = db;
		db->soak = soak;
		db->number = i;
		db->term = 1;
		db->id = g_strdup_printf("i-%d", i);
		db->address = g_strdup_printf("127.3.2.%d:%d", i + 1,
					      SOAK_PORT_DATABASE);
		db->lag_us = soak_random_between(soak, 5, 120) * 1000;
		db->born_ms = g_get_real_time() / 1000;
		fd = net_listen(db->address, &error);
		if (fd < 0)
			g_error("%s", error->message);
		ev_io_init(&db->listener, on_accept, fd, EV_READ);
		db->listener.data = db;
		ev_io_start(soak->loop, &db->listener);
	}
}
