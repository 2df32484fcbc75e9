#include "pg_frame.h"
#include "scram.h"
#include "test_main.h"

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Authentication request codes of the PostgreSQL protocol. */
#define AUTH_OK 0
#define AUTH_SASL 10
#define AUTH_SASL_CONTINUE 11
#define AUTH_SASL_FINAL 12

/* Only limits a hang; no result depends on the value. */
#define SOCKET_TIMEOUT_S 10

/**
 * struct served_connection - connection served by the server thread
 * @listener: listening socket
 * @verifier: verifier of the only user
 * @known: whether the user is known and @verifier is used
 * @client_first: copy of libpq's client-first message
 * @accepted: whether the login succeeded
 */
struct served_connection {
	int listener;
	struct scram_verifier verifier;
	bool known;
	char *client_first;
	bool accepted;
};

static void send_all(int fd, struct pg_buffer *out)
{
	ssize_t n;

	while (pg_buffer_length(out)) {
		n = send(fd, pg_buffer_head(out), pg_buffer_length(out),
			 MSG_NOSIGNAL);
		if (n <= 0)
			return;
		pg_buffer_consume(out, n);
	}
}

/* Reads until a frame is complete; false if the connection ends before. */
static bool receive(int fd, struct pg_buffer *in, bool startup,
		    struct pg_frame *frame)
{
	enum pg_frame_status status;
	ssize_t n;

	for (;;) {
		status = startup ? pg_frame_peek_startup(pg_buffer_head(in),
							 pg_buffer_length(in),
							 frame) :
				   pg_frame_peek(pg_buffer_head(in),
						 pg_buffer_length(in),
						 PG_FRAME_MAX_BYTES, frame);
		if (status != PG_FRAME_INCOMPLETE)
			return status == PG_FRAME_READY;
		n = read(fd, pg_buffer_reserve(in, 4096), 4096);
		if (n <= 0)
			return false;
		pg_buffer_commit(in, n);
	}
}

static void put_auth(struct pg_buffer *out, uint32_t code, const char *data,
		     size_t len)
{
	size_t begin = pg_frame_begin(out, 'R');

	pg_put_u32(out, code);
	pg_buffer_append(out, data, len);
	pg_frame_end(out, begin);
}

static void put_auth_result(struct pg_buffer *out,
			    struct served_connection *served, const char *reply,
			    const GError *error)
{
	if (!reply) {
		pg_put_error(out, "FATAL", "28P01", error->message, "");
		return;
	}
	put_auth(out, AUTH_SASL_FINAL, reply, strlen(reply));
	put_auth(out, AUTH_OK, "", 0);
	pg_put_ready(out, 'I');
	served->accepted = true;
}

static char *handle_client_first(struct served_connection *served,
				 struct scram_server *server,
				 const struct pg_frame *frame)
{
	struct pg_reader r;
	GError *error = NULL;
	char *reply = NULL;
	uint32_t len;
	const uint8_t *data;

	pg_reader_init(&r, frame->payload, frame->payload_len);
	pg_read_string(&r);
	len = pg_read_u32(&r);
	data = pg_read_bytes(&r, len);
	if (!data)
		return NULL;
	served->client_first = g_strndup((const char *)data, len);
	scram_server_first(server, (const char *)data, len, &reply, &error);
	g_clear_error(&error);
	return reply;
}

static void serve(struct served_connection *served, struct scram_server *server,
		  int fd)
{
	static const char mechanisms[] = SCRAM_MECHANISM "\0";
	struct pg_buffer in, out;
	struct pg_frame frame;
	GError *error = NULL;
	char *reply = NULL;

	pg_buffer_init(&in);
	pg_buffer_init(&out);
	if (!receive(fd, &in, true, &frame))
		goto done;
	pg_buffer_consume(&in, frame.frame_len);
	put_auth(&out, AUTH_SASL, mechanisms, sizeof(mechanisms));
	send_all(fd, &out);
	if (!receive(fd, &in, false, &frame))
		goto done;
	reply = handle_client_first(served, server, &frame);
	pg_buffer_consume(&in, frame.frame_len);
	if (!reply)
		goto done;
	put_auth(&out, AUTH_SASL_CONTINUE, reply, strlen(reply));
	g_free(reply);
	reply = NULL;
	send_all(fd, &out);
	if (!receive(fd, &in, false, &frame))
		goto done;
	scram_server_final(server, (const char *)frame.payload,
			   frame.payload_len, &reply, &error);
	put_auth_result(&out, served, reply, error);
	send_all(fd, &out);
	/* Waits for libpq to close first, so that it reads everything sent. */
	pg_buffer_consume(&in, frame.frame_len);
	receive(fd, &in, false, &frame);
done:
	g_clear_error(&error);
	g_free(reply);
	pg_buffer_finish(&in);
	pg_buffer_finish(&out);
}

static void *serve_connection(void *data)
{
	const struct timeval timeout = { .tv_sec = SOCKET_TIMEOUT_S };
	struct served_connection *served = data;
	struct scram_server server;
	int fd = accept(served->listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	scram_server_init(&server, served->known ? &served->verifier : NULL,
			  "dispatcher-1", "fixed-nonce");
	serve(served, &server, fd);
	scram_server_finish(&server);
	close(fd);
	return NULL;
}

static int listen_on_loopback(uint16_t *port)
{
	const struct timeval timeout = { .tv_sec = SOCKET_TIMEOUT_S };
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_ge(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(listen(fd, 1), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	*port = ntohs(addr.sin_port);
	return fd;
}

/* Returns whether the login succeeds; checks that both sides agree on it. */
static bool connect_with(const char *stored, const char *given, bool known,
			 char **message, char **client_first)
{
	static const uint8_t salt[] = "sixteen bytes...";
	char *verifier = scram_verifier_make(stored, salt, 16, 4096);
	const char *keys[] = { "host",	   "port",    "user",	    "dbname",
			       "password", "sslmode", "gssencmode", NULL };
	const char *values[] = { "127.0.0.1", NULL,	 "dispatcher-1", "x",
				 given,	      "disable", "disable",	 NULL };
	struct served_connection served = { .known = known };
	pthread_t thread;
	char number[8];
	uint16_t port;
	PGconn *conn;
	bool ok;

	ck_assert(scram_verifier_parse(verifier, &served.verifier));
	served.listener = listen_on_loopback(&port);
	g_snprintf(number, sizeof(number), "%u", port);
	values[1] = number;
	ck_assert_int_eq(
		pthread_create(&thread, NULL, serve_connection, &served), 0);
	conn = PQconnectdbParams(keys, values, 0);
	ok = PQstatus(conn) == CONNECTION_OK;
	*message = g_strdup(PQerrorMessage(conn));
	PQfinish(conn);
	pthread_join(thread, NULL);
	close(served.listener);
	ck_assert_int_eq(ok, served.accepted);
	*client_first = served.client_first;
	g_free(verifier);
	return ok;
}

static const struct attempt {
	const char *stored;
	const char *given;
	bool known;
	bool succeeds;
} attempts[] = {
	{ "pencil", "pencil", true, true },
	{ "pencil", "Pencil", true, false },
	{ "pencil", "pencil", false, false },
	{ "with , and = \\", "with , and = \\", true, true },
	/* a ligature, a soft hyphen and a no-break space: SASLprep */
	{ "\xef\xac\x81lter\xc2\xad\xc2\xa0x", "filter x", true, true },
	{ "filter x", "\xef\xac\x81lter\xc2\xad\xc2\xa0x", true, true },
	/* an Ogham space, which NFKC alone keeps */
	{ "a\xe1\x9a\x80z", "a z", true, true },
	{ "not \xff utf-8", "not \xff utf-8", true, true },
};

/* Guards against an exchange that libpq does not accept. */
START_TEST(test_libpq)
{
	char *message, *client_first;
	size_t i;
	bool ok;

	for (i = 0; i < G_N_ELEMENTS(attempts); i++) {
		ok = connect_with(attempts[i].stored, attempts[i].given,
				  attempts[i].known, &message, &client_first);
		ck_assert_msg(ok == attempts[i].succeeds, "attempt %zu: %s", i,
			      message);
		ck_assert_msg(g_str_has_prefix(client_first, "n,,n=,r="), "%s",
			      client_first);
		if (!ok)
			ck_assert_msg(strstr(message,
					     "password authentication failed; "
					     "check user") != NULL,
				      "%s", message);
		g_free(message);
		g_free(client_first);
	}
}
END_TEST

TEST_MAIN("scram_libpq", test_libpq)
