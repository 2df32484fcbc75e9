#ifndef SETTINGS_H
#define SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Settings of a daemon, read from an INI file.
 *
 * Durations in files have a unit (us, ms, s, m, h); sizes have KiB or MiB.
 * Unknown sections or keys, duplicate keys, missing required keys and invalid
 * values are reported as CW_ERROR_SETTINGS, "FILE:LINE: problem; remedy".
 */

/**
 * struct control_peer - a VM with the control role
 * @id: Raft node ID, at least 1, never reused
 * @address: "IP:PORT" of its control endpoint
 */
struct control_peer {
	uint64_t id;
	char *address;
};

/**
 * struct settings - settings of a daemon
 * @name: unique name of the daemon
 * @availability_zone: availability zone of this VM
 * @region: region of this VM
 * @caller_listen: "IP:PORT" of the endpoint for callers
 * @admin_listen: "IP:PORT" of the HTTP endpoint for announcements
 *                (POST /announce) and metrics (GET /metrics)
 * @bus_listen: "IP:PORT" of the proxy task's bus endpoint
 * @control_listen: "IP:PORT" of the control task, NULL without the role
 * @control_id: Raft node ID of this VM, 0 without the role
 * @control_peers: struct control_peer, all VMs with the control role
 * @data_folder: directory for durable state, NULL without a disk
 * @bus_public_key: CURVE public key of the deployment, 40 Z85 characters
 * @bus_secret_key: CURVE secret key, 40 Z85 characters
 * @users_file: file of SCRAM verifiers, one "user:verifier" per line; NULL for
 *              no authentication
 * @upstream_user: user name for upstream connections
 * @upstream_password: password for upstream connections, NULL for none
 * @tls_certificate: PEM file with the certificate, NULL for no TLS
 * @tls_key: PEM file with the private key
 * @log_level: enum log_level
 * @max_callers: maximum number of caller connections
 * @drain_timeout_us: maximum duration of a graceful shutdown
 * @heartbeat_interval_us: interval between heartbeats
 * @lease_duration_us: duration of the lease requested from the control leader
 * @probe_interval_us: interval between probes of an upstream
 * @stale_tables_limit_us: how long tables are used after the last lease grant
 * @session_wait_us: maximum wait for the owners of a session
 * @caller_write_timeout_us: how long a caller may leave an answer unread
 * @memory_budget: bytes that all callers may hold in this process
 * @max_startups: maximum number of callers that are not logged in yet
 * @max_callers_per_address: maximum per IP address, 0 for no limit
 * @reserved_descriptors: file descriptors not given to callers
 * @max_upstreams: maximum number of upstreams known from announcements
 * @startup_timeout_us: how long a caller may take to log in
 * @message_timeout_us: how long a message or a batch may take to arrive
 * @transaction_idle_us: how long a caller may be idle in a transaction, 0 for
 *                       no limit
 * @connection_linger_us: time after which a dead daemon's connections are
 *                        presumed closed
 * @election_timeout_us: minimum Raft election timeout
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
	int64_t heartbeat_interval_us;
	int64_t lease_duration_us;
	int64_t probe_interval_us;
	int64_t stale_tables_limit_us;
	int64_t session_wait_us;
	int64_t caller_write_timeout_us;
	uint64_t memory_budget;
	unsigned max_startups;
	unsigned max_callers_per_address;
	unsigned reserved_descriptors;
	unsigned max_upstreams;
	int64_t startup_timeout_us;
	int64_t message_timeout_us;
	int64_t transaction_idle_us;
	int64_t connection_linger_us;
	int64_t election_timeout_us;
};

void settings_init(struct settings *settings);
void settings_finish(struct settings *settings);
bool settings_load(struct settings *settings, const char *path, GError **error);

/**
 * settings_reload() - apply the settings that may change at run time
 *
 * These are log_level, max_callers, drain_timeout, caller_write_timeout,
 * users_file and the limits on callers and upstreams. If any other setting differs, nothing is changed and the
 * difference is reported as an error.
 */
bool settings_reload(struct settings *settings, const char *path,
		     GError **error);

/**
 * duration_parse() - parse a duration such as "250ms" or "4s"
 * Return: false if the unit is missing or unknown, or the value overflows
 */
bool duration_parse(const char *text, int64_t *us);

#endif
