#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Settings of one daemon, read from an INI file.
 *
 * Durations in files carry a unit (us, ms, s, m, h); sizes carry KiB or MiB.
 * An unknown section or key, a repeated key, a missing required key or a bad
 * value is CW_ERROR_SETTINGS with "FILE:LINE: what is wrong; remedy".
 */

/**
 * struct control_peer - one VM with the control role
 * @id: Raft identity, from 1, never reused
 * @address: "IP:PORT" of its control endpoint
 */
struct control_peer {
	uint64_t id;
	char *address;
};

/**
 * struct settings - everything a daemon is told at start
 * @name: unique name of the daemon
 * @availability_zone: zone of this VM
 * @region: region of this VM
 * @caller_listen: "IP:PORT" for callers
 * @admin_listen: "IP:PORT" for announcements (POST /announce) and
 *                counters (GET /metrics)
 * @bus_listen: "IP:PORT" of the proxy task's bus endpoint
 * @control_listen: "IP:PORT" of the control task, NULL without the role
 * @control_id: Raft identity of this VM, 0 without the role
 * @control_peers: struct control_peer, all VMs with the control role
 * @data_folder: folder for durable state, NULL without a disk
 * @bus_public_key: Z85 public key of the deployment, 40 characters
 * @bus_secret_key: Z85 secret key, 40 characters
 * @users_file: SCRAM verifiers, "user:verifier" a line; NULL trusts all
 * @upstream_user: user name towards upstreams
 * @upstream_password: password towards upstreams, NULL for none
 * @tls_certificate: PEM file, NULL for no TLS
 * @tls_key: PEM file
 * @log_level: enum log_level
 * @max_callers: caller connections accepted
 * @drain_timeout_us: longest graceful shutdown
 * @heartbeat_us: time between heartbeats
 * @lease_us: lease asked of the control leader
 * @probe_us: time between probes of an upstream
 * @stale_tables_us: longest service without a lease grant
 * @session_wait_us: longest wait for session owners
 * @caller_write_us: longest time a caller may leave an answer unread
 * @connection_linger_us: time until a dead daemon's connections are gone
 * @election_us: Raft election timeout, least value
 */
struct settings {
	char *name;
	char *availability_zone;
	char *region;
	char *caller_listen;
	char *admin_listen;
	char *bus_listen;
	char *control_listen;
	uint64_t control_id;
	GArray *control_peers;
	char *data_folder;
	char *bus_public_key;
	char *bus_secret_key;
	char *users_file;
	char *upstream_user;
	char *upstream_password;
	char *tls_certificate;
	char *tls_key;
	int log_level;
	unsigned max_callers;
	int64_t drain_timeout_us;
	int64_t heartbeat_us;
	int64_t lease_us;
	int64_t probe_us;
	int64_t stale_tables_us;
	int64_t session_wait_us;
	int64_t caller_write_us;
	int64_t connection_linger_us;
	int64_t election_us;
};

void settings_init(struct settings *settings);
void settings_finish(struct settings *settings);
bool settings_load(struct settings *settings, const char *path, GError **error);

/**
 * settings_reload() - apply what may change while running
 *
 * log_level, max_callers, drain_timeout, caller_write_timeout and the users
 * file change; any other difference is an error and nothing changes.
 */
bool settings_reload(struct settings *settings, const char *path,
		     GError **error);

/**
 * duration_parse() - parse "250ms", "4s" and the like
 * Return: false if the unit is missing or unknown, or the value overflows
 */
bool duration_parse(const char *text, int64_t *us);

#endif
