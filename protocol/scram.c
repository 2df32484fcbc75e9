#include "scram.h"
#include "error.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <string.h>

/* PostgreSQL's default for new verifiers. */
#define MOCK_ITERATIONS 4096
#define MOCK_SALT_LEN 16
/* libpq sends messages of about 100 bytes. */
#define MESSAGE_MAX_BYTES 1024

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

/*
 * GLib skips invalid characters when it decodes base64, so only text that
 * encodes back to itself is accepted.
 */
static bool decode_base64(const char *text, uint8_t *out, size_t max,
			  size_t *len)
{
	gsize decoded_len;
	guchar *bytes = g_base64_decode(text, &decoded_len);
	char *reencoded = g_base64_encode(bytes, decoded_len);
	bool ok = decoded_len <= max && !strcmp(reencoded, text);

	if (ok) {
		memcpy(out, bytes, decoded_len);
		*len = decoded_len;
	}
	g_free(reencoded);
	g_free(bytes);
	return ok;
}

static bool decode_key(const char *text, uint8_t out[SCRAM_KEY_LEN])
{
	size_t len;

	return decode_base64(text, out, SCRAM_KEY_LEN, &len) &&
	       len == SCRAM_KEY_LEN;
}

/* @parts: the mechanism, "ITERATIONS:SALT" and "STOREDKEY:SERVERKEY" */
static bool parse_verifier_parts(char *const *parts, struct scram_verifier *v)
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
		     decode_base64(salt[1], v->salt, sizeof(v->salt),
				   &v->salt_len) &&
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
	struct scram_verifier parsed = { 0 };
	char **parts = g_strsplit(text, "$", 4);
	bool ok = parse_verifier_parts(parts, &parsed);

	g_strfreev(parts);
	if (ok)
		*verifier = parsed;
	return ok;
}

/*
 * The SASLprep steps that affect passwords in practice: maps non-ASCII spaces
 * to a space, removes soft hyphens and joiners, and normalizes to NFKC. As in
 * PostgreSQL, a password that is not UTF-8 is used unchanged.
 */
static char *prepare_password(const char *password)
{
	GString *mapped;
	char *normalized;
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
	normalized = g_utf8_normalize(mapped->str, -1, G_NORMALIZE_NFKC);
	g_string_free(mapped, TRUE);
	return normalized;
}

char *scram_verifier_make(const char *password, const uint8_t *salt,
			  size_t salt_len, unsigned iterations)
{
	uint8_t salted[SCRAM_KEY_LEN], client[SCRAM_KEY_LEN];
	uint8_t stored[SCRAM_KEY_LEN], server[SCRAM_KEY_LEN];
	char *prepared = prepare_password(password);
	char *salt_base64, *stored_base64, *server_base64, *text;

	PKCS5_PBKDF2_HMAC(prepared, strlen(prepared), salt, salt_len,
			  iterations, EVP_sha256(), sizeof(salted), salted);
	hmac(salted, sizeof(salted), "Client Key", client);
	hash(client, stored);
	hmac(salted, sizeof(salted), "Server Key", server);
	salt_base64 = g_base64_encode(salt, salt_len);
	stored_base64 = g_base64_encode(stored, sizeof(stored));
	server_base64 = g_base64_encode(server, sizeof(server));
	text = g_strdup_printf(SCRAM_MECHANISM "$%u:%s$%s:%s", iterations,
			       salt_base64, stored_base64, server_base64);
	OPENSSL_cleanse(prepared, strlen(prepared));
	OPENSSL_cleanse(salted, sizeof(salted));
	OPENSSL_cleanse(client, sizeof(client));
	g_free(prepared);
	g_free(salt_base64);
	g_free(stored_base64);
	g_free(server_base64);
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
	server->verifier.iterations = MOCK_ITERATIONS;
}

void scram_server_finish(struct scram_server *server)
{
	OPENSSL_cleanse(&server->verifier, sizeof(server->verifier));
	g_free(server->client_first_bare);
	g_free(server->server_first);
	g_free(server->nonce);
	memset(server, 0, sizeof(*server));
}

static bool set_protocol_error(GError **error, const char *message)
{
	g_set_error_literal(error, CW_ERROR, CW_ERROR_PROTOCOL, message);
	return false;
}

static bool set_malformed_error(GError **error)
{
	return set_protocol_error(
		error, "the SCRAM message is malformed; use a client "
		       "that follows RFC 5802");
}

/* Returns a NUL-terminated copy, NULL if @message is too long or has a NUL. */
static char *copy_message(const char *message, size_t len)
{
	if (len > MESSAGE_MAX_BYTES || memchr(message, '\0', len))
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

/* Parses "n=USER,r=NONCE" with optional extensions at the end. */
static bool parse_client_first_bare(const char *bare, char **nonce)
{
	char **parts = g_strsplit(bare, ",", -1);
	bool ok = parts[0] && g_str_has_prefix(parts[0], "n=") && parts[1] &&
		  g_str_has_prefix(parts[1], "r=") && is_nonce(parts[1] + 2);

	if (ok)
		*nonce = g_strdup(parts[1] + 2);
	g_strfreev(parts);
	return ok;
}

static bool parse_gs2_header(struct scram_server *server, const char *text,
			     GError **error)
{
	if (text[0] == 'p')
		return set_protocol_error(
			error, "channel binding was requested but not "
			       "offered; connect with "
			       "channel_binding=prefer or disable");
	if (text[0] != 'n' && text[0] != 'y')
		return set_malformed_error(error);
	if (text[1] != ',')
		return set_malformed_error(error);
	if (text[2] != ',')
		return set_protocol_error(
			error, "an authorization identity was given; "
			       "connect as that user instead");
	server->gs2_flag = text[0];
	return true;
}

static bool handle_client_first(struct scram_server *server, const char *text,
				char **reply, GError **error)
{
	char *client_nonce, *salt;

	if (!parse_gs2_header(server, text, error))
		return false;
	text += strlen("n,,");
	if (g_str_has_prefix(text, "m="))
		return set_protocol_error(error,
					  "a mandatory SCRAM extension was "
					  "requested; use a client without it");
	if (!parse_client_first_bare(text, &client_nonce))
		return set_malformed_error(error);
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
		return set_malformed_error(error);
	}
	ok = handle_client_first(server, text, reply, error);
	g_free(text);
	return ok;
}

static bool proof_matches(const struct scram_server *server,
			  const char *auth_message,
			  const uint8_t proof[SCRAM_KEY_LEN])
{
	uint8_t key[SCRAM_KEY_LEN], stored[SCRAM_KEY_LEN];
	bool matches;
	size_t i;

	hmac(server->verifier.stored_key, SCRAM_KEY_LEN, auth_message, key);
	for (i = 0; i < SCRAM_KEY_LEN; i++)
		key[i] ^= proof[i];
	hash(key, stored);
	matches = !CRYPTO_memcmp(stored, server->verifier.stored_key,
				 SCRAM_KEY_LEN);
	OPENSSL_cleanse(key, sizeof(key));
	return matches && server->known_user;
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

static bool check_channel_binding(const struct scram_server *server,
				  const char *part, GError **error)
{
	/* Base64 of "n,," and "y,,", the two accepted GS2 headers. */
	const char *expected = server->gs2_flag == 'n' ? "c=biws" : "c=eSws";

	if (strcmp(part, expected))
		return set_protocol_error(error,
					  "the SCRAM header changed during the "
					  "exchange; check for a relay between "
					  "caller and daemon");
	return true;
}

/* @proof: points to ",p=" in @text */
static bool handle_client_final(struct scram_server *server, const char *text,
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
		set_malformed_error(error);
	} else if (strcmp(parts[1] + 2, server->nonce)) {
		set_protocol_error(error,
				   "the SCRAM nonce does not match; start the "
				   "exchange again");
	} else if (check_channel_binding(server, parts[0], error)) {
		ok = proof_matches(server, auth_message, bytes);
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
		return set_malformed_error(error);
	}
	server->step = STEP_DONE;
	ok = handle_client_final(server, text, proof, reply, error);
	g_free(text);
	return ok;
}
