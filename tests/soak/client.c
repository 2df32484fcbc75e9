#include "soak.h"

#include "net.h"

#include <string.h>

/* A caller gives a statement up after this time, microseconds. */
#define PATIENCE_US (3000 * 1000ll)
/* Pause between two operations, microseconds: up to. */
#define PAUSE_US (40 * 1000ll)

enum operation {
	OP_WRITE,
	OP_READ_OWN,
	OP_READ_SHARED,
	OP_TRANSACTION,
};

/**
 * struct soak_client - one caller with one connection after another
 * @route: name of its database
 * @step: statements of the operation that were answered
 * @item: item of the operation
 * @value: value that the operation writes
 * @own: last value that it wrote to its own item in this session
 * @floor: newest acknowledged value when a shared read began
 */
struct soak_client {
	struct soak *soak;
	int number;
	struct stream stream;
	bool open;
	bool started;
	const char *route;
	enum operation op;
	unsigned step;
	bool outstanding;
	unsigned next_id;
	char *item;
	char *value;
	char *own;
	char *floor;
	GString *rows;
	bool promised;
	int64_t sent_us;
	int64_t pause_us;
};

static const char *const routes[] = { "dbprimary", "dbown", "dbbounded" };

static void drop(struct soak_client *c)
{
	if (c->open)
		stream_close(&c->stream);
	c->open = false;
	c->started = false;
	c->outstanding = false;
	c->step = 0;
	g_clear_pointer(&c->own, g_free);
	c->pause_us = soak_now() + soak_between(c->soak, 0, PAUSE_US);
}

static void send_query(struct soak_client *c, const char *text)
{
	g_autofree char *line = g_strdup_printf("QUERY c%d-%u %s\r\n",
						c->number, c->next_id++, text);

	c->outstanding = true;
	c->sent_us = soak_now();
	g_string_truncate(c->rows, 0);
	pg_buffer_append(&c->stream.out, line, strlen(line));
	stream_flush(&c->stream);
}

static unsigned index_of(const struct soak *soak, const char *value)
{
	return value ? GPOINTER_TO_UINT(
			       g_hash_table_lookup(soak->index_of, value)) :
		       0;
}

static void acknowledged(struct soak_client *c)
{
	struct soak *soak = c->soak;
	unsigned index = index_of(soak, c->value);

	soak->done++;
	if (!index && !g_hash_table_contains(soak->rolled_back, c->value))
		soak_violation(soak, "%s was acknowledged and is not there",
			       c->value);
	if (index_of(soak, g_hash_table_lookup(soak->acked, c->item)) < index)
		g_hash_table_replace(soak->acked, g_strdup(c->item),
				     g_strdup(c->value));
	if (!g_str_has_prefix(c->item, "item"))
		return;
	g_free(c->own);
	c->own = g_strdup(c->value);
}

static void check_read(struct soak_client *c, const char *needed,
		       const char *what)
{
	const char *got = c->rows->len ? c->rows->str : "-";

	c->soak->done++;
	/* What a promotion rolled back need not be seen. */
	if (index_of(c->soak, got) < index_of(c->soak, needed))
		soak_violation(c->soak, "%s: read %s after %s", what, got,
			       needed);
}

static void next_value(struct soak_client *c)
{
	g_free(c->value);
	c->value = g_strdup_printf("v%d.%u", c->number, c->next_id);
}

static void begin(struct soak_client *c)
{
	g_autofree char *text = NULL;
	bool bounded = c->route == routes[2];

	c->step = 0;
	c->promised = false;
	c->op = bounded ? OP_READ_OWN :
			  (enum operation)soak_between(c->soak, 0, 4);
	if (c->op == OP_READ_SHARED && c->route != routes[0])
		c->op = OP_WRITE;
	g_free(c->item);
	c->item = c->op == OP_READ_SHARED || soak_between(c->soak, 0, 3) == 0 ?
			  g_strdup("shared") :
			  g_strdup_printf("item%d", c->number);
	if (c->op == OP_READ_OWN) {
		g_free(c->item);
		c->item = g_strdup_printf("item%d", c->number);
	}
	next_value(c);
	g_free(c->floor);
	c->floor = g_strdup(g_hash_table_lookup(c->soak->acked, c->item));
	if (c->op == OP_WRITE)
		text = g_strdup_printf("WRITE %s %s", c->item, c->value);
	else if (c->op == OP_TRANSACTION)
		text = g_strdup("BEGIN");
	else
		text = g_strdup_printf("READ %s", c->item);
	send_query(c, text);
}

static void refused(struct soak_client *c, const char *code)
{
	static const char *const promises[] = { "BUSY",	     "ABORTED",
						"LAGGING",   "READONLY",
						"MISROUTED", "TOOMANY" };
	size_t i;

	c->soak->not_done++;
	for (i = 0; i < G_N_ELEMENTS(promises); i++)
		if (!strcmp(code, promises[i]))
			c->promised = true;
	if (c->promised && (c->op == OP_WRITE || c->op == OP_TRANSACTION))
		g_hash_table_add(c->soak->refused, g_strdup(c->value));
	drop(c);
}

static void step_on(struct soak_client *c, const char *state)
{
	g_autofree char *text = NULL;

	c->outstanding = false;
	c->step++;
	if (c->op == OP_TRANSACTION && c->step < 3) {
		if (strcmp(state, "T"))
			soak_violation(c->soak, "state %s in a transaction",
				       state);
		text = c->step == 1 ? g_strdup_printf("WRITE %s %s", c->item,
						      c->value) :
				      g_strdup("COMMIT");
		send_query(c, text);
		return;
	}
	if (c->op == OP_WRITE || c->op == OP_TRANSACTION)
		acknowledged(c);
	else if (c->op == OP_READ_SHARED)
		check_read(c, c->floor, "stale read at the primary");
	else
		check_read(c, c->route == routes[1] ? c->own : NULL,
			   "own write not read");
	c->pause_us = soak_now() + soak_between(c->soak, 0, PAUSE_US);
}

static void take_line(struct soak_client *c, const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", 3);

	if (!c->started) {
		if (strcmp(words[0], "READY"))
			drop(c);
		else
			c->started = true;
		return;
	}
	if (!c->outstanding) {
		soak_violation(c->soak, "an answer to nothing: %s", line);
		drop(c);
		return;
	}
	if (!strcmp(words[0], "ROW"))
		g_string_assign(c->rows, line + 4);
	else if (!strcmp(words[0], "ERR"))
		refused(c, words[1] ? words[1] : "");
	else if (!strcmp(words[0], "READY"))
		step_on(c, words[1] ? words[1] : "");
}

static void on_input(void *data)
{
	struct soak_client *c = data;

	while (c->open && pg_buffer_length(&c->stream.in)) {
		const char *from = (const char *)pg_buffer_head(&c->stream.in);
		const char *end =
			memchr(from, '\n', pg_buffer_length(&c->stream.in));
		g_autofree char *line = NULL;

		if (!end)
			return;
		line = g_strndup(from, end - from - 1);
		pg_buffer_consume(&c->stream.in, end - from + 1);
		take_line(c, line);
	}
}

static void on_closed(int err, void *data)
{
	struct soak_client *c = data;

	if (c->outstanding)
		c->soak->not_done++;
	drop(c);
}

static void on_opened(void *data)
{
	struct soak_client *c = data;
	g_autofree char *line =
		g_strdup_printf("START %s u%d\r\n", c->route, c->number);

	pg_buffer_append(&c->stream.out, line, strlen(line));
	stream_flush(&c->stream);
}

static const struct stream_events events = { .opened = on_opened,
					     .input = on_input,
					     .closed = on_closed };

static void connect_client(struct soak_client *c, int64_t now_us)
{
	struct soak *soak = c->soak;
	const struct soak_process *to =
		&soak->processes[SOAK_CONTROLS +
				 soak_between(soak, 0, SOAK_ENTRIES)];
	int fd = net_connect(to->ip, SOAK_PORT_CALLERS);

	if (fd < 0) {
		c->pause_us = now_us + PAUSE_US;
		return;
	}
	c->route = routes[soak_between(soak, 0, 3)];
	c->open = true;
	c->sent_us = now_us;
	stream_init(&c->stream, soak->loop, fd, true, &events, c);
}

static void tick(struct soak_client *c, int64_t now_us)
{
	if (now_us < c->pause_us)
		return;
	if (!c->open) {
		if (!c->soak->ending)
			connect_client(c, now_us);
		return;
	}
	if ((!c->started || c->outstanding) &&
	    now_us - c->sent_us > PATIENCE_US) {
		drop(c);
		return;
	}
	if (!c->started || c->outstanding)
		return;
	if (c->soak->ending || soak_between(c->soak, 0, 40) == 0)
		drop(c);
	else
		begin(c);
}

void clients_tick(struct soak *soak, int64_t now_us)
{
	int i;

	for (i = 0; i < SOAK_CLIENTS; i++)
		tick(soak->clients[i], now_us);
}

void clients_start(struct soak *soak)
{
	int i;

	for (i = 0; i < SOAK_CLIENTS; i++) {
		struct soak_client *c = g_new0(struct soak_client, 1);

		c->soak = soak;
		c->number = i;
		c->rows = g_string_new(NULL);
		soak->clients[i] = c;
	}
}
