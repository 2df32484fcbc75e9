#include "log.h"
#include "standin.h"

#include <curl/curl.h>
#include <jansson.h>
#include <stdio.h>

#define POLL_US 10000

struct announcer {
	struct standin *server;
	CURLM *multi;
	char **targets;
	struct curl_slist *headers;
	int poll_timer;
	int period_timer;
};

static size_t discard(char *data, size_t size, size_t nr, void *user)
{
	return size * nr;
}

static char *announcement(struct standin *s)
{
	struct position pos = { s->term, s->replayed };
	char text[POSITION_TEXT_SIZE];
	json_t *json = json_pack(
		"{s:s, s:s, s:i, s:s, s:s, s:s, s:s, s:i, s:s, s:s, s:b}",
		"name", s->options.name, "address", s->options.address, "port",
		s->options.port, "availability_zone",
		s->options.availability_zone, "service", s->options.service,
		"cluster", s->options.cluster, "database", s->options.database,
		"term", (int)s->term, "position", position_format(pos, text),
		"role", s->in_recovery ? "replica" : "primary", "leaving",
		s->faults[FAULT_LEAVING] != 0);
	char *body = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return body;
}

static void post(struct announcer *a, const char *target, const char *body)
{
	CURL *easy = curl_easy_init();
	char *url = g_strdup_printf("http://%s/announce", target);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, a->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_multi_add_handle(a->multi, easy);
	g_free(url);
}

static void on_poll(int64_t now_us, void *data)
{
	struct announcer *a = data;
	CURLMsg *msg;
	int running = 0, left;

	a->poll_timer = TIMER_NONE;
	curl_multi_perform(a->multi, &running);
	while ((msg = curl_multi_info_read(a->multi, &left))) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_multi_remove_handle(a->multi, msg->easy_handle);
		curl_easy_cleanup(msg->easy_handle);
	}
	if (running)
		a->poll_timer = timer_subscribe(
			&a->server->timers, now_us + POLL_US, 0, on_poll, a);
}

void announcer_send(struct announcer *a)
{
	char *body;
	int i;

	if (!a || !a->targets)
		return;
	body = announcement(a->server);
	for (i = 0; a->targets[i]; i++)
		post(a, a->targets[i], body);
	free(body);
	if (a->poll_timer == TIMER_NONE)
		a->poll_timer = timer_subscribe(&a->server->timers,
						standin_now(a->server), 0,
						on_poll, a);
}

static void on_period(int64_t now_us, void *data)
{
	announcer_send(data);
}

struct announcer *announcer_new(struct standin *s)
{
	struct announcer *a = g_new0(struct announcer, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	a->server = s;
	a->multi = curl_multi_init();
	a->headers = curl_slist_append(NULL, "Content-Type: application/json");
	a->poll_timer = TIMER_NONE;
	if (s->options.announce_to)
		a->targets = g_strsplit(s->options.announce_to, ",", -1);
	a->period_timer = timer_subscribe(&s->timers, standin_now(s),
					  s->options.announce_ms * 1000ll,
					  on_period, a);
	return a;
}

void announcer_free(struct announcer *a)
{
	timer_cancel(&a->server->timers, &a->poll_timer);
	timer_cancel(&a->server->timers, &a->period_timer);
	curl_multi_cleanup(a->multi);
	curl_slist_free_all(a->headers);
	g_strfreev(a->targets);
	curl_global_cleanup();
	g_free(a);
}
