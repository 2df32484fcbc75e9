#include "internal.h"

#include "clock.h"
#include "event_log.h"

#include <jansson.h>

/* Time-out of a handover, which ends once the successor has caught up with the
 * demoted primary. */
#define HANDOVER_TIMEOUT_US (700 * 1000ll)
/* Interval at which the successor's log position is polled. */
#define POLL_INTERVAL_US (20 * 1000ll)
/* Time for which the result is repeated in reports to control. */
#define RESULT_REPEAT_US (2500 * 1000ll)

static void finish_order(struct entry *entry, bool complete)
{
	struct handover *h = &entry->handover;

	h->phase = HANDOVER_DONE;
	h->complete = complete;
	h->expires_us = clock_now_us() + RESULT_REPEAT_US;
	event_log_always("handover_finished", "{s:s, s:s, s:b, s:I, s:I}",
			 "from", h->from, "to", h->to, "complete",
			 (int)complete, "term", (json_int_t)h->end.term,
			 "position", (json_int_t)h->end.lsn);
	watch_report_at(entry, clock_now_us());
}

static void send_command(struct entry *entry, const char *id,
			 const struct link_command *command)
{
	struct handover *h = &entry->handover;
	struct upstream *upstream =
		g_hash_table_lookup(entry->known_upstreams, id);
	struct link *link;

	if (!upstream || upstream->gone) {
		finish_order(entry, false);
		return;
	}
	link = upstream_idle_link(upstream, NULL);
	if (!link) {
		if (!upstream->links->len)
			link_open(upstream);
		return;
	}
	h->awaiting_answer = true;
	link_send(link, LINK_PURPOSE_HANDOVER, command);
	link_flush(link);
}

void handover_proceed(struct entry *entry)
{
	struct handover *h = &entry->handover;
	struct link_command command = { .verb = LINK_STATUS };
	const struct upstream *from;

	if (!h->number || h->awaiting_answer || h->phase == HANDOVER_DONE ||
	    h->timer != TIMER_NONE)
		return;
	if (clock_now_us() > h->expires_us) {
		finish_order(entry, false);
		return;
	}
	if (h->phase == HANDOVER_CATCHING_UP) {
		send_command(entry, h->to, &command);
		return;
	}
	from = g_hash_table_lookup(entry->known_upstreams, h->from);
	command.verb = LINK_DEMOTE;
	command.min_position.term =
		MAX(h->demote_term, from ? from->log_position.term + 1 : 0);
	send_command(entry, h->from, &command);
}

static void on_poll(int64_t now_us, void *data)
{
	struct entry *entry = data;

	entry->handover.timer = TIMER_NONE;
	handover_tick(entry, now_us);
}

static void schedule_poll(struct entry *entry)
{
	struct handover *h = &entry->handover;

	if (h->timer == TIMER_NONE)
		h->timer = timer_subscribe(entry->timers,
					   clock_now_us() + POLL_INTERVAL_US, 0,
					   on_poll, entry);
}

void handover_tick(struct entry *entry, int64_t now_us)
{
	struct handover *h = &entry->handover;

	if (!h->number || h->phase == HANDOVER_DONE)
		return;
	if (now_us > h->expires_us) {
		finish_order(entry, false);
		return;
	}
	handover_proceed(entry);
}

void handover_answered(struct entry *entry,
		       const struct statement_answer *answer)
{
	struct handover *h = &entry->handover;
	struct upstream_status status;

	h->awaiting_answer = false;
	if (h->phase == HANDOVER_DONE)
		return;
	if (answer->refusal ||
	    !entry->config.upstream_ops->read_status(answer, &status)) {
		schedule_poll(entry);
		return;
	}
	if (h->phase == HANDOVER_STOPPING && status.primary) {
		h->demote_term = status.term + 1;
		schedule_poll(entry);
		return;
	}
	if (h->phase == HANDOVER_STOPPING) {
		h->end = status.received;
		h->phase = HANDOVER_CATCHING_UP;
		handover_proceed(entry);
		return;
	}
	if (position_compare(status.received, h->end) >= 0)
		finish_order(entry, true);
	else
		schedule_poll(entry);
}

void handover_link_lost(struct entry *entry)
{
	entry->handover.awaiting_answer = false;
	schedule_poll(entry);
}

void handover_start(struct entry *entry, const Wire__Handover *in)
{
	struct handover *h = &entry->handover;

	/* Control repeats the order until it has received the result. */
	if (in->number == h->number ||
	    g_strcmp0(in->daemon, entry->config.name))
		return;
	/* An answer to this order would be taken for one to the new order. */
	if (h->number && (h->phase != HANDOVER_DONE || h->awaiting_answer))
		return;
	if (h->timer != TIMER_NONE)
		timer_cancel(entry->timers, &h->timer);
	g_free(h->from);
	g_free(h->to);
	*h = (struct handover){ .number = in->number,
				.from = g_strdup(in->from),
				.to = g_strdup(in->to),
				.expires_us =
					clock_now_us() + HANDOVER_TIMEOUT_US,
				.timer = TIMER_NONE };
	event_log_always("handover_started", "{s:s, s:s, s:I}", "from", h->from,
			 "to", h->to, "number", (json_int_t)h->number);
	if (clock_now_us() - entry->last_tick_us > ENTRY_ORDER_MAX_PAUSE_US) {
		finish_order(entry, false);
		return;
	}
	handover_proceed(entry);
}

void handover_finish(struct entry *entry)
{
	if (entry->handover.timer != TIMER_NONE)
		timer_cancel(entry->timers, &entry->handover.timer);
	g_free(entry->handover.from);
	g_free(entry->handover.to);
}
