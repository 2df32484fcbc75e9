#include "crowd.h"

#include "hostile.h"

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IP "127.0.0.1"
/* Time without progress after which a sender gives up, milliseconds. */
#define PUSH_WAIT_MS 500

void frame_header(GByteArray *to, char type, uint32_t len)
{
	uint32_t wire = htonl(len);

	g_byte_array_append(to, (const guint8 *)&type, 1);
	g_byte_array_append(to, (const guint8 *)&wire, sizeof(wire));
}

void frame_add(GByteArray *to, char type, const void *body, size_t len)
{
	frame_header(to, type, len + sizeof(uint32_t));
	g_byte_array_append(to, body, len);
}

void frame_text(GByteArray *to, char type, const char *text)
{
	frame_add(to, type, text, strlen(text) + 1);
}

static void add_text(GByteArray *to, const char *text)
{
	g_byte_array_append(to, (const guint8 *)text, strlen(text) + 1);
}

static void add_body(GByteArray *to, char type, GByteArray *body)
{
	frame_add(to, type, body->data, body->len);
	g_byte_array_unref(body);
}

void frame_parse(GByteArray *to, const char *name, const char *sql)
{
	GByteArray *body = g_byte_array_new();

	add_text(body, name);
	add_text(body, sql);
	g_byte_array_append(body, (const guint8 *)"\0", 2);
	add_body(to, 'P', body);
}

void frame_bind(GByteArray *to, const char *portal, const char *name)
{
	GByteArray *body = g_byte_array_new();

	add_text(body, portal);
	add_text(body, name);
	g_byte_array_append(body, (const guint8 *)"\0\0\0\0\0", 6);
	add_body(to, 'B', body);
}

void frame_execute(GByteArray *to, const char *portal)
{
	GByteArray *body = g_byte_array_new();

	add_text(body, portal);
	g_byte_array_append(body, (const guint8 *)"\0\0\0", 4);
	add_body(to, 'E', body);
}

void frame_startup(GByteArray *to)
{
	static const char body[] = "\0\3\0\0user\0dispatcher-1\0"
				   "database\0grindplan-db.west\0";
	uint32_t wire = htonl(sizeof(body) + sizeof(wire));

	g_byte_array_append(to, (const guint8 *)&wire, sizeof(wire));
	g_byte_array_append(to, (const guint8 *)body, sizeof(body));
}

size_t push(int fd, const void *data, size_t len)
{
	struct pollfd pfd = { .fd = fd, .events = POLLOUT };
	size_t sent = 0;
	ssize_t n;

	while (sent < len && poll(&pfd, 1, PUSH_WAIT_MS) == 1) {
		n = hostile_send(fd, (const char *)data + sent, len - sent);
		if (n < 0)
			break;
		sent += n;
	}
	return sent;
}

int caller_connect(const struct target *t)
{
	return hostile_connect(IP, t->callers);
}

/* Return: whether the session got ready within the time. */
static bool log_in(int fd)
{
	GByteArray *out = g_byte_array_new();
	struct pollfd pfd = { .fd = fd, .events = POLLIN };
	char byte = 0, last[6] = "";
	int i;

	frame_startup(out);
	push(fd, out->data, out->len);
	g_byte_array_unref(out);
	/* ReadyForQuery of an idle session ends the answer. */
	while (memcmp(last, "Z\0\0\0\5I", sizeof(last))) {
		if (poll(&pfd, 1, 3000) != 1 || recv(fd, &byte, 1, 0) != 1)
			return false;
		for (i = 0; i < 5; i++)
			last[i] = last[i + 1];
		last[5] = byte;
	}
	return true;
}

int caller_open(const struct target *t)
{
	int fd = caller_connect(t);

	if (fd >= 0 && !log_in(fd)) {
		close(fd);
		return -1;
	}
	return fd;
}

bool caller_answer(int fd, const char *expected)
{
	struct pollfd pfd = { .fd = fd, .events = POLLIN };
	GByteArray *in = g_byte_array_new();
	char buffer[4096];
	bool found = false;
	ssize_t n;

	while (poll(&pfd, 1, 5000) == 1) {
		n = recv(fd, buffer, sizeof(buffer), 0);
		if (n <= 0)
			break;
		g_byte_array_append(in, (guint8 *)buffer, n);
		if (in->len < 6 ||
		    memcmp(in->data + in->len - 6, "Z\0\0\0\5", 5))
			continue;
		found = memmem(in->data, in->len, expected, strlen(expected));
		break;
	}
	g_byte_array_unref(in);
	return found;
}

bool caller_query(int fd, const char *sql, const char *expected)
{
	GByteArray *out = g_byte_array_new();

	frame_text(out, 'Q', sql);
	push(fd, out->data, out->len);
	g_byte_array_unref(out);
	return caller_answer(fd, expected);
}

static void fail(const char *why)
{
	fprintf(stderr, "failed: %s\n", why);
	exit(1);
}

/* Return: whether the statement is answered without an error. */
static bool answers(PGconn *conn, const char *sql)
{
	struct pollfd pfd = { .fd = PQsocket(conn), .events = POLLIN };
	PGresult *result;
	bool served = false;

	if (PQstatus(conn) != CONNECTION_OK || !PQsendQuery(conn, sql))
		return false;
	while (PQisBusy(conn))
		if (poll(&pfd, 1, 5000) != 1 || !PQconsumeInput(conn))
			return false;
	result = PQgetResult(conn);
	served = PQresultStatus(result) == PGRES_TUPLES_OK ||
		 PQresultStatus(result) == PGRES_COMMAND_OK;
	PQclear(result);
	return served;
}

/* An ordinary client connects again after a refusal. */
void caller_serves(const struct target *t, const char *sql)
{
	g_autofree char *conninfo = g_strdup_printf(
		"host=" IP " port=%u user=dispatcher-1 "
		"dbname=grindplan-db.west password='grinds at dawn' "
		"sslmode=disable gssencmode=disable connect_timeout=5",
		t->callers);
	int64_t end_us = g_get_monotonic_time() + HOSTILE_PATIENCE_US;

	while (g_get_monotonic_time() < end_us) {
		PGconn *conn = PQconnectdb(conninfo);
		bool served = answers(conn, sql);

		PQfinish(conn);
		if (served)
			return;
		hostile_sleep_ms(100);
	}
	fail("an ordinary request is not answered");
}

/* The process is not a child: it lives while it has resident memory. */
static void check(const struct target *t, const struct load *load)
{
	struct hostile_process p = { .pid = t->pid };
	unsigned long kb = hostile_peak_kb(&p);
	unsigned fds = hostile_open_fds(&p);

	printf("%s: peak %lu kB of %lu, %u descriptors of %u\n", load->name, kb,
	       load->max_kb, fds, load->max_fds);
	fflush(stdout);
	if (!kb || kill(t->pid, 0))
		fail("the process ended");
	if (kb > load->max_kb)
		fail("the memory is above its bound");
	if (fds > load->max_fds)
		fail("more descriptors are open than allowed");
}

static const struct load *find(const struct load *loads, const char *name)
{
	for (; loads->name; loads++)
		if (!strcmp(loads->name, name))
			return loads;
	return NULL;
}

static const struct load *find_load(const char *name)
{
	const struct load *load = find(statement_loads, name);

	if (!load)
		load = find(stop_loads, name);
	return load ? load : find(port_loads, name);
}

/* Writes a key and a certificate that it signs itself. */
static int make_certificate(const char *folder)
{
	g_autofree char *cert_file = g_build_filename(folder, "cert.pem", NULL);
	g_autofree char *key_file = g_build_filename(folder, "key.pem", NULL);
	EVP_PKEY *key = EVP_EC_gen("P-256");
	X509 *cert = X509_new();
	FILE *out;

	X509_set_pubkey(cert, key);
	ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
	X509_gmtime_adj(X509_getm_notBefore(cert), 0);
	X509_gmtime_adj(X509_getm_notAfter(cert), 24 * 3600);
	X509_NAME_add_entry_by_txt(X509_get_subject_name(cert), "CN",
				   MBSTRING_ASC, (const guint8 *)"localhost",
				   -1, -1, 0);
	X509_set_issuer_name(cert, X509_get_subject_name(cert));
	X509_sign(cert, key, EVP_sha256());
	out = fopen(cert_file, "w");
	g_assert(out && PEM_write_X509(out, cert));
	fclose(out);
	out = fopen(key_file, "w");
	g_assert(out &&
		 PEM_write_PrivateKey(out, key, NULL, NULL, 0, NULL, NULL));
	fclose(out);
	X509_free(cert);
	EVP_PKEY_free(key);
	return 0;
}

int main(int argc, char **argv)
{
	const struct load *load = argc > 6 ? find_load(argv[1]) : NULL;
	struct target t;
	GArray *fds;
	guint i;

	if (argc == 3 && !strcmp(argv[1], "certificate"))
		return make_certificate(argv[2]);
	if (!load) {
		fprintf(stderr, "usage: crowd LOAD PID CALLERS ADMIN BUS "
				"CONTROL\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	t.pid = atoi(argv[2]);
	t.callers = atoi(argv[3]);
	t.admin = atoi(argv[4]);
	t.bus = atoi(argv[5]);
	t.control = atoi(argv[6]);
	fds = g_array_new(FALSE, FALSE, sizeof(int));
	load->run(&t, fds);
	check(&t, load);
	/* Ordinary callers are served beside the crowd and after it. */
	caller_serves(&t, "SELECT 41 + 1");
	for (i = 0; i < fds->len; i++)
		if (g_array_index(fds, int, i) >= 0)
			close(g_array_index(fds, int, i));
	g_array_free(fds, TRUE);
	hostile_sleep_ms(500);
	caller_serves(&t, "SELECT 41 + 1");
	check(&t, load);
	return 0;
}
