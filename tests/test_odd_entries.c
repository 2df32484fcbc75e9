#define PORT 39216

#include "control_fixture.h"

#include "http_client.h"
#include "platform/control_http.h"

/* Heartbeats of another writer, sent to a control VM over HTTP. */
#define HTTP_ADDRESS "127.1.0.1:39217"
#define URL_PREFIX "http://" HTTP_ADDRESS "/comfreywheel/instances/"
#define NESTING 200000

static struct http_client *client;
static struct control_http *http;
static long last_status;
static bool answered;

static void on_done(long status, void *data)
{
	last_status = status;
	answered = true;
}

static bool is_answered(void)
{
	return answered;
}

static long post_to(const char *id, const char *call, const char *body)
{
	static const char *const headers[] = { "Content-Type: application/json",
					       NULL };
	g_autofree char *url = g_strdup_printf(URL_PREFIX "%s/%s", id, call);

	answered = false;
	http_client_post(client, url, headers, body, 5000, on_done, NULL);
	ck_assert(run_until(is_answered, 6));
	return last_status;
}

static long post(const char *id, const char *body)
{
	return post_to(id, "heartbeat", body);
}

/* A proper heartbeat in which @field has the JSON text @value. */
static char *heartbeat_with(const char *field, const char *value)
{
	static const char *const fields[][2] = {
		{ "service", "\"s\"" },
		{ "address", "\"127.1.2.3:8080\"" },
		{ "zone", "\"z\"" },
		{ "version", "\"v1\"" },
		{ "slots", "2" },
		{ "state", "\"ready\"" },
		{ "cold_remaining_ms", "0" },
		{ "db_role", "\"replica\"" },
		{ "sequence", "1" },
		{ "born", "1000" },
	};
	GString *out = g_string_new("{\"extra\":0");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		bool is_odd = !strcmp(field, fields[i][0]);

		if (!is_odd || value)
			g_string_append_printf(out, ",\"%s\":%s", fields[i][0],
					       is_odd ? value : fields[i][1]);
	}
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

static void start(void)
{
	GError *error = NULL;

	nr_promotions = 0;
	start_group(3);
	put_config(1, "one");
	client = http_client_new(loop);
	http = control_http_new(loop, vms[0].node, HTTP_ADDRESS, &error);
	ck_assert_msg(http, "%s", error ? error->message : "");
}

/* Also after a failed test, which would leave the port in use. */
static void stop(void)
{
	if (http)
		control_http_free(http);
	if (client)
		http_client_free(client);
	http = NULL;
	client = NULL;
	stop_group();
}

static unsigned count_known(void)
{
	return g_hash_table_size(control_sightings(vms[0].node)->by_id);
}

/*
 * Guards against an entry that names no database to use and is taken for one:
 * fields missing, of another type or out of range.
 */
START_TEST(test_odd_fields)
{
	static const char *const odd[][2] = {
		{ "address", "\"127.1.2.3:70000\"" },
		{ "address", "\"127.1.2.3:0\"" },
		{ "address", "\"127.1.2.3:99999999999999999999\"" },
		{ "address", "\"127.1.2.3:-1\"" },
		{ "address", "\"host:8080\"" },
		{ "address", "\"300.1.2.3:8080\"" },
		{ "address", NULL },
		{ "address", "8080" },
		{ "slots", NULL },
		{ "slots", "0" },
		{ "slots", "1e30" },
		{ "slots", "\"2\"" },
		{ "version", NULL },
		{ "version", "1" },
		{ "cold_remaining_ms", "-1" },
		{ "sequence", "-1" },
		{ "sequence", "9223372036854775807" },
		{ "sequence", "99999999999999999999" },
		{ "sequence", "1e400" },
		{ "born", "-1" },
		{ "born", "9000000000000000000" },
		{ "born", "1.5" },
		{ "state", "\"resting\"" },
		{ "db_role", "\"witness\"" },
		{ "service", "\"\"" },
		{ "zone", "[]" },
	};
	g_autofree char *proper = heartbeat_with("", "");
	size_t i;

	start();
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		g_autofree char *body = heartbeat_with(odd[i][0], odd[i][1]);

		ck_assert_msg(post("odd", body) == 400, "%s: %ld", body,
			      last_status);
	}
	ck_assert_uint_eq(count_known(), 0);
	ck_assert_int_eq(post("proper", proper), 200);
	ck_assert_uint_eq(count_known(), 1);
}
END_TEST

/* Guards against a process that ends because of one unreadable entry: deep
 * nesting, bytes that are no text, an end in the middle. */
START_TEST(test_unreadable)
{
	g_autofree char *deep = g_malloc0(2 * NESTING + 64);
	g_autofree char *extra = NULL;
	g_autofree char *proper = heartbeat_with("", "");

	start();
	memset(deep, '[', NESTING);
	ck_assert_int_eq(post("odd", deep), 400);
	memset(deep + NESTING, ']', NESTING);
	extra = heartbeat_with("zone", deep);
	ck_assert_int_eq(post("odd", extra), 400);
	ck_assert_int_eq(post("odd", "{\"service\":\"\xff\xfe\""), 400);
	ck_assert_int_eq(post("odd", "{\"service\":\"s"), 400);
	ck_assert_int_eq(post("odd", "null"), 400);
	ck_assert_int_eq(post("odd", ""), 400);
	ck_assert_uint_eq(count_known(), 0);
	ck_assert_int_eq(post("proper", proper), 200);
}
END_TEST

/*
 * Guards against a known database that counts as gone or is heard no more after
 * an entry with a number that is too large.
 */
START_TEST(test_known_database_is_kept)
{
	g_autofree char *proper = heartbeat_with("", "");
	g_autofree char *later = heartbeat_with("sequence", "2");
	g_autofree char *late_born =
		heartbeat_with("born", "9000000000000000000");
	g_autofree char *large = heartbeat_with("sequence", "1000000000000000");
	const struct sighting *known;

	start();
	ck_assert_int_eq(post("a", proper), 200);
	post("b", late_born);
	post("a", large);
	ck_assert_int_eq(post("a", later), 200);
	known = sightings_find(control_sightings(vms[0].node), "a");
	ck_assert(known && !known->gone);
	ck_assert_uint_eq(known->sequence, 2);
}
END_TEST

/* Guards against orders to the platform for a service that nobody uses. */
START_TEST(test_unknown_service)
{
	g_autofree char *odd = heartbeat_with("service", "\"unknown\"");
	g_autofree char *proper = heartbeat_with("", "");

	start();
	post("odd", odd);
	run_until(NULL, 5);
	ck_assert_uint_eq(nr_promotions, 0);
	post("proper", proper);
	run_until(NULL, 4);
	ck_assert_uint_gt(nr_promotions, 0);
	ck_assert_str_eq(promoted_id, "proper");
}
END_TEST

/*
 * Guards against replacing a healthy primary: one announcement of another writer
 * moves it to a service that nobody uses, or to another one, and it counts as
 * lost.
 */
START_TEST(test_primary_keeps_service)
{
	g_autofree char *replica = heartbeat_with("", "");
	g_autofree char *other_address =
		heartbeat_with("address", "\"127.1.2.4:8080\"");
	g_autofree char *unknown = NULL;
	g_autofree char *other = NULL;
	g_autofree char *primary = NULL;
	const struct sighting *known;

	primary = g_strdup(replica);
	memcpy(strstr(primary, "replica"), "primary", strlen("primary"));
	unknown = heartbeat_with("service", "\"unknown\"");
	other = heartbeat_with("service", "\"t\"");
	start();
	ck_assert_int_eq(post("a", primary), 200);
	ck_assert_int_eq(post("b", other_address), 200);
	run_until(NULL, 0.5);
	memcpy(strstr(unknown, "\"sequence\":1"), "\"sequence\":9",
	       strlen("\"sequence\":9"));
	memcpy(strstr(other, "\"sequence\":1"), "\"sequence\":9",
	       strlen("\"sequence\":9"));
	post("a", unknown);
	post("a", other);
	run_until(NULL, 1);
	known = sightings_find(control_sightings(vms[0].node), "a");
	ck_assert_str_eq(known->service, "s");
	ck_assert_uint_eq(known->sequence, 1);
	ck_assert_uint_eq(nr_promotions, 0);
	/* Nor do the other VMs take it. */
	known = sightings_find(control_sightings(vms[1].node), "a");
	ck_assert_str_eq(known->service, "s");
}
END_TEST

/* Guards against an upstream that is ignored for good, as an announcement of
 * another writer came first. */
START_TEST(test_foreign_announcement_first)
{
	g_autofree char *proper = heartbeat_with("sequence", "2");
	g_autofree char *unknown = heartbeat_with("service", "\"unknown\"");
	const struct sighting *known;

	start();
	post("a", unknown);
	ck_assert_int_eq(post("a", proper), 200);
	known = sightings_find(control_sightings(vms[0].node), "a");
	ck_assert_str_eq(known->service, "s");
}
END_TEST

/* Guards against a database that counts as gone because the leave of its life
 * before a restart under the same id arrives late. */
START_TEST(test_late_leave)
{
	g_autofree char *proper = heartbeat_with("", "");
	const struct sighting *known;

	start();
	ck_assert_int_eq(post("a", proper), 200);
	known = sightings_find(control_sightings(vms[0].node), "a");
	ck_assert_int_eq(post_to("a", "leave", "{\"born\":999}"), 200);
	ck_assert(!known->gone);
	ck_assert_int_eq(post_to("a", "leave", "{\"born\":1000}"), 200);
	ck_assert(known->gone);
	ck_assert_int_eq(post("b", proper), 200);
	known = sightings_find(control_sightings(vms[0].node), "b");
	ck_assert_int_eq(post_to("b", "leave", ""), 200);
	ck_assert(known->gone);
}
END_TEST

TEST_MAIN_WITH_FIXTURE("odd_entries", init_group, stop, test_odd_fields,
		       test_unreadable, test_known_database_is_kept,
		       test_unknown_service, test_primary_keeps_service,
		       test_foreign_announcement_first, test_late_leave)
