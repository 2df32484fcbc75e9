#ifndef LAB_H
#define LAB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * A small deployment on loopback addresses: starts the daemons of the deploy
 * file as processes, and stands in for the operator, the platform, the
 * databases and the clients. Blocking calls, one thread a connection.
 */

#define LAB_HELD 0
#define LAB_BROKEN 1
#define LAB_CANNOT_RUN 2

/* Bounds and figures of the site, milliseconds unless named otherwise. */
#define SITE_CATCH_UP_MS 4000
#define SITE_CONTACT_MS 4000
#define SITE_ACK_MS 5000
#define SITE_CONFIG_APPLY_MS 3000
#define SITE_GRACE_S 6
#define SITE_HEARTBEAT_MS 1200
#define SITE_PROMOTE_MS 600
#define SITE_LAG_MS 20
#define SITE_SLOTS 2

#define LAB_MAX_PROCESSES 96

struct lab_process {
	char name[32];
	char ip[16];
	bool control;
	pid_t pid;
	bool running;
};

/* Prepares addresses, ports, the temporary folder and the record; @argv holds
 * the temporary folder and the record's path. */
void lab_init(int argc, char **argv);
/* Ends all processes and exits with @status. */
void lab_exit(int status, const char *why) __attribute__((noreturn));
bool lab_trouble(void);
void lab_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int64_t lab_now_ms(void);
void lab_sleep_ms(int64_t ms);
/* The address of machine @nr of the deployment. */
void lab_ip(int nr, char ip[16]);

/* Starts a daemon; @seeds are three addresses of control machines. */
struct lab_process *lab_start(const char *name, int machine, bool control,
			      bool bootstrap, char seeds[3][16], int losses);
void lab_kill(struct lab_process *p);
void lab_signal(struct lab_process *p, int sig);
/* Waits for the end of a process, at most @ms. Return: whether it ended. */
bool lab_wait_end(struct lab_process *p, int64_t ms, int *status);
/* Copies the log lines of all daemons that hold @event into the record. */
void lab_copy_events(const char *event);
int lab_controls(struct lab_process **out, int max);

/* One request; follows 307 twice. Return: the status, 0 without an answer. */
int lab_http(const char *ip, int port, const char *method, const char *path,
	     const char *headers, const char *body, int timeout_ms,
	     char *answer, size_t answer_size);
int lab_control_port(void);
/* Whether the front tells the balancer that it is ready. */
bool lab_is_ready(const struct lab_process *front);
/* The control machine that answers reads itself, NULL if there is none. */
struct lab_process *lab_leader(void);
/* The operator: sends until acknowledged or @ms have passed. */
bool lab_put(long version, const char *body, int64_t ms);
/* Asks all control machines for the configuration until one returns it.
 * Return: its version, 0 if it did not come within @ms. */
long lab_get(int64_t ms);

struct lab_route {
	const char *database;
	const char *type;
	int timeout_ms;
	int target_ms;
	int staleness_ms;
};
/* The text of a configuration with one service "svc". */
char *lab_config(long version, const struct lab_route *routes, int nr,
		 int sync_replicas);

/* A client session. */
struct lab_session {
	int fd;
	char in[65536];
	size_t len;
};
struct lab_answer {
	/* false if the connection ended before a whole answer */
	bool whole;
	bool done;
	char code[24];
	char row[256];
	char signature[64];
	char state;
	char position[32];
};
bool lab_connect(struct lab_session *s, const char *ip);
/* Sends START. Return: whether READY came; @code gets the code of an ERR. */
bool lab_begin(struct lab_session *s, const char *database, char code[24]);
void lab_query(struct lab_session *s, const char *id, const char *text,
	       int timeout_ms, struct lab_answer *answer);
void lab_close(struct lab_session *s);

/* The databases of service "svc": number 0 is the primary at first. */
struct lab_databases_config {
	int nr;
	int work_ms;
	int sync_replicas;
	/* Called with the commits that a promotion rolls back. */
	void (*rolled_back)(const char *value, bool acknowledged);
	/* Called with the id of each statement of a client that arrives. */
	void (*arrived)(const char *id);
};
void lab_databases_start(const struct lab_databases_config *config);
/* From now on database @nr applies what it receives @ms late. */
void lab_database_lag(int nr, int ms);
/* Whether database @nr receives nothing. */
void lab_database_deaf(int nr, bool deaf);
void lab_database_crash(int nr);
const char *lab_database_name(int nr);
/* Number of promotions carried out. */
int lab_promotions(void);
/* The primary's number, -1 for none. */
int lab_primary(void);
/* Whether the database that leads has the commit of @value in its log. */
bool lab_is_committed(const char *value);

#endif
