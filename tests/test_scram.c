#include "error.h"
#include "scram.h"
#include "test_main.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

/* RFC 7677, section 3: user "user", password "pencil". */
#define VERIFIER                                        \
	"SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$"  \
	"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:" \
	"wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="
#define SERVER_NONCE "%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0"
#define CLIENT_FIRST "n,,n=user,r=rOprNGfwEbeRWgbNEkqO"
#define SERVER_FIRST                                            \
	"r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0," \
	"s=W22ZaJ0SNY7soEsUEjb6gQ==,i=4096"
#define CLIENT_FINAL                                                   \
	"c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0," \
	"p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="
#define SERVER_FINAL "v=6rriTRBi23WpRR/wtup+mMhUZUn/dB5nLTJRsjl95G4="

static void start_exchange(struct scram_server *server, bool known)
{
	struct scram_verifier verifier;

	ck_assert(scram_verifier_parse(VERIFIER, &verifier));
	scram_server_init(server, known ? &verifier : NULL, "user",
			  SERVER_NONCE);
}

/* Guards against any step that deviates from the standard. */
START_TEST(test_rfc_7677)
{
	struct scram_server server;
	GError *error = NULL;
	char *reply, *made;
	struct scram_verifier v;

	start_exchange(&server, true);
	ck_assert(scram_server_first(&server, CLIENT_FIRST,
				     strlen(CLIENT_FIRST), &reply, &error));
	ck_assert_str_eq(reply, SERVER_FIRST);
	g_free(reply);
	ck_assert(scram_server_final(&server, CLIENT_FINAL,
				     strlen(CLIENT_FINAL), &reply, &error));
	ck_assert_str_eq(reply, SERVER_FINAL);
	g_free(reply);
	ck_assert(!scram_server_final(&server, CLIENT_FINAL,
				      strlen(CLIENT_FINAL), &reply, NULL));
	scram_server_finish(&server);
	ck_assert(scram_verifier_parse(VERIFIER, &v));
	made = scram_verifier_make("pencil", v.salt, v.salt_len, 4096);
	ck_assert_str_eq(made, VERIFIER);
	g_free(made);
}
END_TEST

static const struct refusal {
	bool known;
	const char *first;
	const char *final;
	enum cw_error_kind kind;
	const char *cause;
	const char *remedy;
} refusals[] = {
	{ true, "p=tls-server-end-point,,n=,r=abc", NULL, CW_ERROR_PROTOCOL,
	  "channel binding", "connect with" },
	{ true, "n,a=other,n=,r=abc", NULL, CW_ERROR_PROTOCOL,
	  "authorization identity", "connect as" },
	{ true, "n,,m=x,n=,r=abc", NULL, CW_ERROR_PROTOCOL, "mandatory",
	  "use a client" },
	{ true, "", NULL, CW_ERROR_PROTOCOL, "malformed", "RFC 5802" },
	{ true, "n", NULL, CW_ERROR_PROTOCOL, "malformed", "RFC 5802" },
	{ true, "n,,", NULL, CW_ERROR_PROTOCOL, "malformed", "RFC 5802" },
	{ true, "n,,n=user", NULL, CW_ERROR_PROTOCOL, "malformed", "RFC 5802" },
	{ true, "n,,n=user,r=", NULL, CW_ERROR_PROTOCOL, "malformed",
	  "RFC 5802" },
	{ true, "n,,n=user,r=a b", NULL, CW_ERROR_PROTOCOL, "malformed",
	  "RFC 5802" },
	{ true, "x,,n=user,r=abc", NULL, CW_ERROR_PROTOCOL, "malformed",
	  "RFC 5802" },
	{ true, CLIENT_FIRST, "", CW_ERROR_PROTOCOL, "malformed", "RFC 5802" },
	{ true, CLIENT_FIRST, "c=biws,r=abc", CW_ERROR_PROTOCOL, "malformed",
	  "RFC 5802" },
	{ true, CLIENT_FIRST, "c=biws,p=AAAA", CW_ERROR_PROTOCOL, "malformed",
	  "RFC 5802" },
	{ true, CLIENT_FIRST,
	  "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,"
	  "p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndV",
	  CW_ERROR_PROTOCOL, "malformed", "RFC 5802" },
	{ true, CLIENT_FIRST,
	  "c=biws,r=rOprNGfwEbeRWgbNEkqO,"
	  "p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=",
	  CW_ERROR_PROTOCOL, "nonce", "start the exchange again" },
	{ true, CLIENT_FIRST,
	  "c=eSws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,"
	  "p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ=",
	  CW_ERROR_PROTOCOL, "header changed", "check for a relay" },
	{ true, CLIENT_FIRST,
	  "c=biws,r=rOprNGfwEbeRWgbNEkqO%hvYDpWUa2RaTCAfuxFIlj)hNlF$k0,"
	  "p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVA=",
	  CW_ERROR_AUTHENTICATION, "authentication failed", "check user" },
	{ false, CLIENT_FIRST, CLIENT_FINAL, CW_ERROR_AUTHENTICATION,
	  "authentication failed", "check user" },
};

/* Guards against an invalid or truncated message that is accepted or read past
 * its end. */
START_TEST(test_refusals)
{
	struct scram_server server;
	const struct refusal *r;
	GError *error = NULL;
	char *reply;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(refusals); i++) {
		r = &refusals[i];
		start_exchange(&server, r->known);
		reply = NULL;
		if (r->final) {
			ck_assert(scram_server_first(&server, r->first,
						     strlen(r->first), &reply,
						     &error));
			g_free(reply);
			ck_assert(!scram_server_final(&server, r->final,
						      strlen(r->final), &reply,
						      &error));
		} else {
			ck_assert(!scram_server_first(&server, r->first,
						      strlen(r->first), &reply,
						      &error));
		}
		ck_assert_msg(g_error_matches(error, CW_ERROR, r->kind),
			      "%s: %s", r->final ? r->final : r->first,
			      error->message);
		ck_assert_msg(strstr(error->message, r->cause) &&
				      strstr(error->message, r->remedy),
			      "%s", error->message);
		g_clear_error(&error);
		scram_server_finish(&server);
	}
}
END_TEST

/* Guards against reads past the length, NUL bytes and oversized messages. */
START_TEST(test_lengths)
{
	static const char zero[] = "n,,n=user,r=a\0bc";
	char *long_text = g_strnfill(5000, 'a'), *reply;
	struct scram_server server;

	start_exchange(&server, true);
	ck_assert(!scram_server_first(&server, zero, sizeof(zero) - 1, &reply,
				      NULL));
	memcpy(long_text, "n,,n=,r=", strlen("n,,n=,r="));
	ck_assert(!scram_server_first(&server, long_text, 5000, &reply, NULL));
	ck_assert(!scram_server_final(&server, CLIENT_FINAL,
				      strlen(CLIENT_FINAL), &reply, NULL));
	ck_assert(scram_server_first(&server, long_text, strlen("n,,n=,r=a"),
				     &reply, NULL));
	ck_assert(g_str_has_prefix(reply, "r=a" SERVER_NONCE ","));
	g_free(reply);
	scram_server_finish(&server);
	g_free(long_text);
}
END_TEST

static char *first_reply(const char *user, const struct scram_verifier *v)
{
	struct scram_server server;
	char *reply;

	scram_server_init(&server, v, user, "N");
	ck_assert(scram_server_first(&server, "n,,n=,r=abc",
				     strlen("n,,n=,r=abc"), &reply, NULL));
	scram_server_finish(&server);
	return reply;
}

/* Guards against replies that reveal which users exist: the salt of an unknown
 * user is stable, differs between users and depends on the secret. */
START_TEST(test_unknown_users)
{
	char *a = first_reply("anna", NULL), *again, *b;
	struct scram_verifier v;

	again = first_reply("anna", NULL);
	b = first_reply("bert", NULL);
	ck_assert_str_eq(a, again);
	ck_assert_str_ne(a, b);
	g_free(again);
	g_free(b);
	ck_assert(scram_verifier_parse(VERIFIER, &v));
	b = first_reply("user", &v);
	ck_assert_uint_eq(strlen(a), strlen(b));
	g_free(b);
	scram_set_mock_key("secret", 6);
	b = first_reply("anna", NULL);
	ck_assert_str_ne(a, b);
	g_free(a);
	g_free(b);
	scram_set_mock_key("", 0);
}
END_TEST

/* Guards against malformed verifiers that are accepted. */
START_TEST(test_verifier_texts)
{
	static const char *const bad[] = {
		"",
		"SCRAM-SHA-256",
		"md5abcdef",
		"SCRAM-SHA-1$4096:W22ZaJ0SNY7soEsUEjb6gQ==$a:b",
		"SCRAM-SHA-256$0:W22ZaJ0SNY7soEsUEjb6gQ==$"
		"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:"
		"wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=",
		"SCRAM-SHA-256$4096:$"
		"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:"
		"wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=",
		"SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$"
		"WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4q==:"
		"wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=",
		VERIFIER "$",
		VERIFIER " ",
	};
	struct scram_verifier v = { .iterations = 7 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert_msg(!scram_verifier_parse(bad[i], &v), "%s", bad[i]);
	ck_assert_uint_eq(v.iterations, 7);
}
END_TEST

TEST_MAIN("scram", test_rfc_7677, test_refusals, test_lengths,
	  test_unknown_users, test_verifier_texts)
