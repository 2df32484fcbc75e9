#include "scram.h"
#include "error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

/* What PostgreSQL uses for new verifiers. */
#define DEFAULT_ITERATIONS 4096
#define MOCK_SALT_LEN 16
/* libpq's messages have about 100 bytes. */
#define MESSAGE_MAX 1024

enum scram_step {
	STEP_FIRST,
	STEP_FINAL,
	STEP_DONE,
};

static uint8_t mock_key[64];
static size_t mock_key_len;

void scram_set_mock_key(const void *key, size_t len)
{
	mock_key_len = MIN(len, sizeof(mock_key));
	memcpy(mock_key, key, mock_key_len);
}

static void hmac(const uint8_t *key, size_t key_len, const char *text,
		 uint8_t out[SCRAM_KEY_LEN])
{
	HMAC(EVP_sha256(), key, key_len, (const uint8_t *)text, strlen(text),
	     out, NULL);
}

static void hash(const uint8_t in[SCRAM_KEY_LEN], uint8_t out[SCRAM_KEY_LEN])
{
	EVP_Digest(in, SCRAM_KEY_LEN, out, NULL, EVP_sha256(), NULL);
}

/* GLib skips what is not base64, so only text it would write is accepted. */
static bool decode(const char *text, uint8_t *out, size_t max, size_t *len)
{
	gsize got;
	guchar *bytes = g_base64_decode(text, &got);
	char *back = g_base64_encode(bytes, got);
	bool ok = got <= max && !strcmp(back, text);

	if (ok) {
		memcpy(out, bytes, got);
		*len = got;
	}
	g_free(back);
	g_free(bytes);
	return ok;
}

static bool decode_key(const char *text, uint8_t out[SCRAM_KEY_LEN])
{
	size_t len;

	return decode(text, out, SCRAM_KEY_LEN, &len) && len == SCRAM_KEY_LEN;
}

/* @parts: mechanism, iterations and salt, keys */
static bool parse_parts(char *const *parts, struct scram_verifier *v)
{
	char **salt, **keys;
	guint64 iterations;
	bool ok = false;

	if (g_strv_length((char **)parts) != 3 ||
	    strcmp(parts[0], SCRAM_MECHANISM))
		return false;
	salt = g_strsplit(parts[1], ":", 2);
	keys = g_strsplit(parts[2], ":", 2);
	if (salt[0] && salt[1] && keys[0] && keys[1])
		ok = g_ascii_string_to_unsigned(salt[0], 10, 1, G_MAXINT,
						&iterations, NULL) &&
		     decode(salt[1], v->salt, sizeof(v->salt), &v->salt_len) &&
		     v->salt_len && decode_key(keys[0], v->stored_key) &&
		     decode_key(keys[1], v->server_key);
	if (ok)
		v->iterations = iterations;
	g_strfreev(salt);
	g_strfreev(keys);
	return ok;
}

bool scram_verifier_parse(const char *text, struct scram_verifier *verifier)
{
	struct scram_verifier fresh = { 0 };
	char **parts = g_strsplit(text, "$", 4);
	bool ok = parse_parts(parts, &fresh);

	g_strfreev(parts);
	if (ok)
		*verifier = fresh;
	return ok;
}

/*
 * SASLprep as far as it changes passwords people type: other spaces become a
 * space, soft hyphens and joiners vanish, and NFKC. As in PostgreSQL, text
 * that is not UTF-8 is used as it is.
 */
static char *prepare_password(const char *password)
{
	GString *mapped;
	char *normal;
	gunichar c;

	if (!g_utf8_validate(password, -1, NULL))
		return g_strdup(password);
	mapped = g_string_new(NULL);
	for (; *password; password = g_utf8_next_char(password)) {
		c = g_utf8_get_char(password);
		if (g_unichar_type(c) == G_UNICODE_SPACE_SEPARATOR)
			g_string_append_c(mapped, ' ');
		else if (c != 0xad && (c < 0x200b || c > 0x200d) &&
			 c != 0x2060 && c != 0xfeff)
			g_string_append_unichar(mapped, c);
	}
	normal = g_utf8_normalize(mapped->str, -1, G_NORMALIZE_NFKC);
	g_string_free(mapped, TRUE);
	return normal;
}

char *scram_verifier_make(const char *password, const uint8_t *salt,
			  size_t salt_len, unsigned iterations)
{
	uint8_t salted[SCRAM_KEY_LEN], client[SCRAM_KEY_LEN];
	uint8_t stored[SCRAM_KEY_LEN], server[SCRAM_KEY_LEN];
	char *prepared = prepare_password(password);
	char *s, *k, *v, *text;

	PKCS5_PBKDF2_HMAC(prepared, strlen(prepared), salt, salt_len,
			  iterations, EVP_sha256(), sizeof(salted), salted);
	hmac(salted, sizeof(salted), "Client Key", client);
	hash(client, stored);
	hmac(salted, sizeof(salted), "Server Key", server);
	s = g_base64_encode(salt, salt_len);
	k = g_base64_encode(stored, sizeof(stored));
	v = g_base64_encode(server, sizeof(server));
	text = g_strdup_printf(SCRAM_MECHANISM "$%u:%s$%s:%s", iterations, s, k,
			       v);
	OPENSSL_cleanse(prepared, strlen(prepared));
	OPENSSL_cleanse(salted, sizeof(salted));
	OPENSSL_cleanse(client, sizeof(client));
	g_free(prepared);
	g_free(s);
	g_free(k);
	g_free(v);
	return text;
}

void scram_server_init(struct scram_server *server,
		       const struct scram_verifier *verifier, const char *user,
		       const char *nonce)
{
	uint8_t salt[SCRAM_KEY_LEN];

	memset(server, 0, sizeof(*server));
	server->nonce = g_strdup(nonce);
	server->known_user = verifier != NULL;
	if (verifier) {
		server->verifier = *verifier;
		return;
	}
	hmac(mock_key, mock_key_len, user, salt);
	memcpy(server->verifier.salt, salt, MOCK_SALT_LEN);
	server->verifier.salt_len = MOCK_SALT_LEN;
	server->verifier.iterations = DEFAULT_ITERATIONS;
}

void scram_server_finish(struct scram_server *server)
{
	OPENSSL_cleanse(&server->verifier, sizeof(server->verifier));
	g_free(server->client_first_bare);
	g_free(server->server_first);
	g_free(server->nonce);
	memset(server, 0, sizeof(*server));
}

static bool refuse(GError **error, const char *message)
{
	g_set_error_literal(error, CW_ERROR, CW_ERROR_PROTOCOL, message);
	return false;
}

static bool refuse_malformed(GError **error)
{
	return refuse(error, "the SCRAM message is malformed; use a client "
			     "that follows RFC 5802");
}

/* A terminated copy; NULL if the text cannot be a message. */
static char *copy_message(const char *message, size_t len)
{
	if (len > MESSAGE_MAX || memchr(message, '\0', len))
		return NULL;
	return g_strndup(message, len);
}

static bool is_nonce(const char *text)
{
	if (!*text)
		return false;
	for (; *text; text++)
		if (*text < 0x21 || *text > 0x7e)
			return false;
	return true;
}

/* "n=USER,r=NONCE" with optional extensions behind; sets the nonce. */
static bool parse_bare(const char *bare, char **nonce)
{
	char **parts = g_strsplit(bare, ",", -1);
	bool ok = parts[0] && g_str_has_prefix(parts[0], "n=") && parts[1] &&
		  g_str_has_prefix(parts[1], "r=") && is_nonce(parts[1] + 2);

	if (ok)
		*nonce = g_strdup(parts[1] + 2);
	g_strfreev(parts);
	return ok;
}

static bool take_header(struct scram_server *server, const char *text,
			GError **error)
{
	if (text[0] == 'p')
		return refuse(error, "channel binding was asked for but not "
				     "offered; connect with "
				     "channel_binding=prefer or disable");
	if (text[0] != 'n' && text[0] != 'y')
		return refuse_malformed(error);
	if (text[1] != ',')
		return refuse_malformed(error);
	if (text[2] != ',')
		return refuse(error, "an authorization identity was given; "
				     "connect as that user instead");
	server->gs2_flag = text[0];
	return true;
}

static bool first_of_text(struct scram_server *server, const char *text,
			  char **reply, GError **error)
{
	char *client_nonce, *salt;

	if (!take_header(server, text, error))
		return false;
	text += strlen("n,,");
	if (g_str_has_prefix(text, "m="))
		return refuse(error, "a mandatory SCRAM extension was asked "
				     "for; use a client without it");
	if (!parse_bare(text, &client_nonce))
		return refuse_malformed(error);
	server->client_first_bare = g_strdup(text);
	salt = g_base64_encode(server->verifier.salt,
			       server->verifier.salt_len);
	server->server_first = g_strdup_printf("r=%s%s,s=%s,i=%u", client_nonce,
					       server->nonce, salt,
					       server->verifier.iterations);
	g_free(server->nonce);
	server->nonce = g_strndup(server->server_first + 2,
				  strcspn(server->server_first + 2, ","));
	*reply = g_strdup(server->server_first);
	server->step = STEP_FINAL;
	g_free(client_nonce);
	g_free(salt);
	return true;
}

bool scram_server_first(struct scram_server *server, const char *message,
			size_t len, char **reply, GError **error)
{
	char *text = copy_message(message, len);
	bool ok;

	if (!text || server->step != STEP_FIRST) {
		g_free(text);
		return refuse_malformed(error);
	}
	ok = first_of_text(server, text, reply, error);
	g_free(text);
	return ok;
}

static bool proof_is_right(const struct scram_server *server,
			   const char *auth_message,
			   const uint8_t proof[SCRAM_KEY_LEN])
{
	uint8_t key[SCRAM_KEY_LEN], stored[SCRAM_KEY_LEN];
	bool right;
	size_t i;

	hmac(server->verifier.stored_key, SCRAM_KEY_LEN, auth_message, key);
	for (i = 0; i < SCRAM_KEY_LEN; i++)
		key[i] ^= proof[i];
	hash(key, stored);
	right = !CRYPTO_memcmp(stored, server->verifier.stored_key,
			       SCRAM_KEY_LEN);
	OPENSSL_cleanse(key, sizeof(key));
	return right && server->known_user;
}

static char *server_signature(const struct scram_server *server,
			      const char *auth_message)
{
	uint8_t signature[SCRAM_KEY_LEN];
	char *text, *reply;

	hmac(server->verifier.server_key, SCRAM_KEY_LEN, auth_message,
	     signature);
	text = g_base64_encode(signature, sizeof(signature));
	reply = g_strconcat("v=", text, NULL);
	g_free(text);
	return reply;
}

static bool check_binding(const struct scram_server *server, const char *part,
			  GError **error)
{
	/* base64 of "n,," and "y,,", the two headers that are accepted */
	const char *expected = server->gs2_flag == 'n' ? "c=biws" : "c=eSws";

	if (strcmp(part, expected))
		return refuse(error, "the SCRAM header changed during the "
				     "exchange; check for a relay between "
				     "caller and daemon");
	return true;
}

/* @proof: where ",p=" starts in @text */
static bool final_of_text(struct scram_server *server, const char *text,
			  const char *proof, char **reply, GError **error)
{
	char *without_proof = g_strndup(text, proof - text);
	char **parts = g_strsplit(without_proof, ",", -1);
	char *auth_message = g_strconcat(server->client_first_bare, ",",
					 server->server_first, ",",
					 without_proof, NULL);
	uint8_t bytes[SCRAM_KEY_LEN];
	bool ok = false;

	if (!parts[0] || !parts[1] || !g_str_has_prefix(parts[1], "r=") ||
	    !decode_key(proof + strlen(",p="), bytes)) {
		refuse_malformed(error);
	} else if (strcmp(parts[1] + 2, server->nonce)) {
		refuse(error, "the SCRAM nonce does not match; start the "
			      "exchange again");
	} else if (check_binding(server, parts[0], error)) {
		ok = proof_is_right(server, auth_message, bytes);
		if (ok)
			*reply = server_signature(server, auth_message);
		else
			g_set_error_literal(error, CW_ERROR,
					    CW_ERROR_AUTHENTICATION,
					    "password authentication failed; "
					    "check user and password");
	}
	g_free(auth_message);
	g_strfreev(parts);
	g_free(without_proof);
	return ok;
}

bool scram_server_final(struct scram_server *server, const char *message,
			size_t len, char **reply, GError **error)
{
	char *text = copy_message(message, len), *proof = NULL;
	bool ok;

	if (text)
		proof = g_strrstr(text, ",p=");
	if (!proof || server->step != STEP_FINAL) {
		g_free(text);
		return refuse_malformed(error);
	}
	server->step = STEP_DONE;
	ok = final_of_text(server, text, proof, reply, error);
	g_free(text);
	return ok;
}
