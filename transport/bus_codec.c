#include "bus_internal.h"

#include <string.h>
#include <zmq.h>

Wire__Envelope *envelope_unpack(const uint8_t *bytes, size_t len)
{
	Wire__Envelope *envelope;

	if (!len || len > BUS_FRAME_MAX)
		return NULL;
	envelope = wire__envelope__unpack(NULL, len, bytes);
	if (!envelope)
		return NULL;
	if (envelope->body_case == WIRE__ENVELOPE__BODY__NOT_SET) {
		wire__envelope__free_unpacked(envelope, NULL);
		return NULL;
	}
	return envelope;
}

void bus_frame_send(void *socket, const struct bus_return_path *to,
		    const Wire__Envelope *envelope, struct bus_counts *counts)
{
	size_t len = wire__envelope__get_packed_size(envelope);
	zmq_msg_t msg;

	if (len > BUS_FRAME_MAX) {
		counts->oversized++;
		return;
	}
	if (to &&
	    zmq_send(socket, to->id, to->len, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0) {
		counts->dropped++;
		return;
	}
	if (zmq_msg_init_size(&msg, len)) {
		counts->dropped++;
		return;
	}
	wire__envelope__pack(envelope, zmq_msg_data(&msg));
	if (zmq_msg_send(&msg, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&msg);
		counts->dropped++;
		return;
	}
	counts->sent++;
	counts->bytes_sent += len;
}

/* Reads and discards the remaining parts of a message with excess parts. */
static void discard_parts(void *socket)
{
	zmq_msg_t part;
	int more = 1;

	while (more) {
		zmq_msg_init(&part);
		if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0)
			more = 0;
		else
			more = zmq_msg_more(&part);
		zmq_msg_close(&part);
	}
}

/*
 * Copies the sender's identity to @from.
 * Return: false if it is too long or no payload follows it
 */
static bool read_identity(zmq_msg_t *part, struct bus_return_path *from)
{
	size_t len = zmq_msg_size(part);

	if (len > sizeof(from->id) || !zmq_msg_more(part))
		return false;
	memcpy(from->id, zmq_msg_data(part), len);
	from->len = len;
	return true;
}

/*
 * Receives one message. *@envelope is NULL if the message was not valid.
 * Return: 0 if the queue is empty, else 1
 */
static int receive_message(void *socket, struct bus_return_path *from,
			   Wire__Envelope **envelope, struct bus_counts *counts)
{
	zmq_msg_t part;
	size_t len;
	bool valid = true;

	*envelope = NULL;
	zmq_msg_init(&part);
	if (zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&part);
		return 0;
	}
	if (from) {
		valid = read_identity(&part, from);
		if (valid && zmq_msg_recv(&part, socket, ZMQ_DONTWAIT) < 0)
			valid = false;
	}
	len = zmq_msg_size(&part);
	counts->received++;
	counts->bytes_received += len;
	if (zmq_msg_more(&part)) {
		valid = false;
		discard_parts(socket);
	}
	if (valid && len > BUS_FRAME_MAX)
		counts->oversized++;
	else if (valid)
		*envelope = envelope_unpack(zmq_msg_data(&part), len);
	if (!*envelope && len <= BUS_FRAME_MAX)
		counts->malformed++;
	zmq_msg_close(&part);
	return 1;
}

Wire__Envelope *bus_frame_receive(void *socket, struct bus_return_path *from,
				  unsigned *budget, struct bus_counts *counts)
{
	Wire__Envelope *envelope;

	while (*budget) {
		if (!receive_message(socket, from, &envelope, counts))
			return NULL;
		(*budget)--;
		if (envelope)
			return envelope;
	}
	return NULL;
}
