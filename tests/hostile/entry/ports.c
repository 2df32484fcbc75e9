#include "crowd.h"

#include "messages.pb-c.h"
#include "peers.h"
#include "statement.h"

#include <arpa/inet.h>
#include <string.h>

/* Loads on the ports between daemons and on the HTTP ports. */

/* Frames of a legal length that never end. */
void load_relay_halves(struct crowd *crowd)
{
	size_t len = 1900 * 1024;
	g_autofree char *data = g_strnfill(len, 'x');
	uint32_t header = htonl(2 * 1024 * 1024);

	memcpy(data, &header, sizeof(header));
	crowd_connect(crowd, crowd->internal_port, 48);
	crowd_send(crowd, data, len, 16000);
}

/* Lengths that are zero, too large or of a frame that cannot be decoded, on more
 * connections than the daemon has descriptors. */
void load_relay_lengths(struct crowd *crowd)
{
	static const char *const starts[] = { "\0\0\0\0", "\xff\xff\xff\xff",
					      "\0\0\0\4", "\0\0\0" };
	unsigned i;

	for (i = 0; i < 160; i++) {
		crowd_connect(crowd, crowd->internal_port, 1);
		hostile_send(crowd->fds[i], starts[i % G_N_ELEMENTS(starts)],
			     i % G_N_ELEMENTS(starts) == 3 ? 3 : 4);
	}
	hostile_sleep_ms(500);
}

static char *pack_request(unsigned number, char *service, char *text,
			  size_t *len)
{
	Wire__Envelope envelope = WIRE__ENVELOPE__INIT;
	Wire__RelayRequest request = WIRE__RELAY_REQUEST__INIT;
	uint32_t header;
	char *frame;

	request.session = number;
	request.service = service;
	request.statement_us = 5000000;
	request.target_us = 5000000;
	request.verb = STATEMENT_READ;
	request.id = "1";
	request.text = text;
	envelope.body_case = WIRE__ENVELOPE__BODY_RELAY_REQUEST;
	envelope.relay_request = &request;
	*len = 4 + wire__envelope__get_packed_size(&envelope);
	frame = g_malloc(*len);
	header = htonl((uint32_t)*len - 4);
	memcpy(frame, &header, 4);
	wire__envelope__pack(&envelope, (uint8_t *)frame + 4);
	return frame;
}

/* Statements for services that no configuration names, with long names. */
void load_relay_services(struct crowd *crowd)
{
	GString *frames = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 100; i++) {
		g_autofree char *name = g_strnfill(1000 * 1000, 'n');
		g_autofree char *frame = NULL;
		size_t len;

		memcpy(name, &(char[]){ 'a' + i / 26, 'a' + i % 26 }, 2);
		frame = pack_request(i + 1, name, "READ one", &len);
		g_string_append_len(frames, frame, (gssize)len);
	}
	crowd_connect(crowd, crowd->internal_port, 1);
	crowd_send(crowd, frames->str, frames->len, 64000);
	g_string_free(frames, TRUE);
}

/* Very many sessions on one connection, each with a statement that is not
 * answered. */
void load_relay_sessions(struct crowd *crowd)
{
	GString *frames = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 60000; i++) {
		g_autofree char *frame = NULL;
		size_t len;

		frame = pack_request(i + 1, "svc", "READ never", &len);
		g_string_append_len(frames, frame, (gssize)len);
	}
	crowd_connect(crowd, crowd->internal_port, 1);
	crowd_send(crowd, frames->str, frames->len, 64000);
	g_string_free(frames, TRUE);
}

/* Half requests on the ready and metrics ports. */
void load_http_halves(struct crowd *crowd)
{
	static const char text[] = "GET /metrics HTTP/1.1\r\nHost: ";

	crowd_connect(crowd, crowd->ready_port, 60);
	crowd_connect(crowd, CROWD_METRICS_PORT, 60);
	crowd_send(crowd, text, sizeof(text) - 1, sizeof(text) - 1);
}
