#include "internal.h"

#include "clock.h"
#include "error.h"
#include "event_log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <unistd.h>

/* Number in the identity of each seed of a new group. */
#define FOUNDER_NUMBER 1u
/* File that holds the number in this VM's identity. */
#define IDENTITY_FILE "identity"

static uint64_t make_identity(uint32_t ip, uint32_t number)
{
	return (uint64_t)ip << 32 | number;
}

void control_storage_on_failure(const GError *error, void *data)
{
	event_log_always("store_failed", "{s:s}", "why", error->message);
	control_count(data, CONTROL_COUNT_STORE_FAILURES, 1);
}

static void on_send(const struct raft_message *msg, void *data)
{
	struct control_node *node = data;

	if (!node->disk.failed)
		control_send_raft(node, msg);
}

static void on_save_hard_state(const struct raft_hard_state *hs, void *data)
{
	struct control_node *node = data;

	raft_disk_save_hard_state(&node->disk, hs);
}

static void on_append(const struct raft_entry *entries, size_t nr, void *data)
{
	struct control_node *node = data;

	raft_disk_append(&node->disk, entries, nr);
}

static void apply_data(struct control_node *node,
		       const struct raft_entry *entry)
{
	Wire__ConfigChange *change =
		wire__config_change__unpack(NULL, entry->len, entry->data);

	if (!change) {
		event_log_always("entry_unreadable", "{s:I}", "index",
				 (json_int_t)entry->index);
		return;
	}
	if (change->primary)
		control_primary_apply(node, change->primary, entry->index);
	else
		config_register_take(&node->reg, change);
	wire__config_change__free_unpacked(change, NULL);
}

static void on_apply(const struct raft_entry *entry, void *data)
{
	struct control_node *node = data;
	uint64_t version = node->reg.version;

	if (node->lead_term && entry->term == node->lead_term)
		node->lead_term_applied = true;
	if (entry->kind == RAFT_ENTRY_DATA)
		apply_data(node, entry);
	if (entry->kind == RAFT_ENTRY_MEMBERS)
		node->group_due = true;
	if (node->reg.version == version)
		return;
	event_log("config_in_force", "{s:I, s:I, s:I}", "version",
		  (json_int_t)node->reg.version, "index",
		  (json_int_t)entry->index, "term", (json_int_t)entry->term);
	control_count(node, CONTROL_COUNT_CONFIGS, 1);
	node->views_due = true;
}

static uint8_t *on_take_snapshot(size_t *len, void *data)
{
	struct control_node *node = data;
	Wire__ConfigChange snapshot = WIRE__CONFIG_CHANGE__INIT;
	uint8_t *bytes;

	snapshot.version = node->reg.version;
	if (node->reg.document)
		snapshot.document.data = (uint8_t *)g_bytes_get_data(
			node->reg.document, &snapshot.document.len);
	primary_register_pack(&node->primaries, &snapshot);
	*len = wire__config_change__get_packed_size(&snapshot);
	bytes = g_malloc(MAX(*len, 1));
	wire__config_change__pack(&snapshot, bytes);
	primary_register_clear_packed(&snapshot);
	return bytes;
}

static void on_save_snapshot(uint64_t index, uint64_t term,
			     const struct raft_members *members,
			     const uint8_t *bytes, size_t len, void *data)
{
	struct control_node *node = data;

	raft_disk_save_snapshot(&node->disk, index, term, members, bytes, len);
}

static void on_restore_snapshot(const uint8_t *bytes, size_t len, void *data)
{
	struct control_node *node = data;
	Wire__ConfigChange *snapshot =
		wire__config_change__unpack(NULL, len, bytes);

	if (snapshot) {
		config_register_take(&node->reg, snapshot);
		control_primaries_restore(node, snapshot);
		wire__config_change__free_unpacked(snapshot, NULL);
	} else {
		event_log_always("snapshot_unreadable", "");
	}
	node->views_due = true;
}

static const struct raft_ops raft_ops = {
	.send = on_send,
	.save_hard_state = on_save_hard_state,
	.append = on_append,
	.apply = on_apply,
	.take_snapshot = on_take_snapshot,
	.save_snapshot = on_save_snapshot,
	.restore_snapshot = on_restore_snapshot,
};

static bool is_founder(const struct control_node *node)
{
	guint i;

	for (i = 0; node->config.bootstrap && i < node->config.seeds->len; i++)
		if (g_array_index(node->config.seeds, uint32_t, i) ==
		    node->config.ip)
			return true;
	return false;
}

/* The number is random unless this VM founds the group, so that an empty disk
 * gets an identity that no other disk has had. */
static uint32_t choose_number(const struct control_node *node)
{
	uint32_t number;

	if (is_founder(node))
		return FOUNDER_NUMBER;
	do
		number = g_random_int();
	while (number <= FOUNDER_NUMBER);
	return number;
}

static bool save_identity(struct control_node *node, GError **error)
{
	uint32_t number = choose_number(node);
	g_autofree char *text = g_strdup_printf("%" PRIu32 "\n", number);

	if (!store_replace_file(node->folder, IDENTITY_FILE, text, error))
		return false;
	node->id = make_identity(node->config.ip, number);
	return true;
}

/* The file holds the number only: a disk that was moved to another address gets
 * an identity with that address. */
static bool load_identity(struct control_node *node, GError **error)
{
	g_autofree char *path =
		g_build_filename(node->folder, IDENTITY_FILE, NULL);
	char text[16] = "";
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	ssize_t len = fd >= 0 ? read(fd, text, sizeof(text) - 1) : -1;

	if (fd >= 0)
		close(fd);
	if (len <= 0 || !strchr(text, '\n'))
		return save_identity(node, error);
	node->id = make_identity(node->config.ip,
				 (uint32_t)g_ascii_strtoull(text, NULL, 10));
	return true;
}

/* The seeds of a new group are its first voters. All start from the same empty
 * snapshot. */
static bool create_group(struct control_node *node, struct raft_recovered *rec,
			 uint8_t **bytes, GError **error)
{
	guint i;

	memset(rec, 0, sizeof(*rec));
	for (i = 0; i < node->config.seeds->len && i < RAFT_MEMBERS_MAX; i++)
		rec->members.member[rec->members.nr++] = (struct raft_member){
			make_identity(g_array_index(node->config.seeds,
						    uint32_t, i),
				      FOUNDER_NUMBER),
			true
		};
	*bytes = config_change_pack(0, NULL, &rec->snapshot_len);
	rec->snapshot = *bytes;
	event_log_always("group_founded", "{s:i}", "voters",
			 (int)rec->members.nr);
	return raft_disk_bootstrap(&node->disk, rec, error);
}

static bool open_store(struct control_node *node, GError **error)
{
	g_autofree char *folder = g_build_filename(node->folder, "log", NULL);
	g_autofree uint8_t *bytes = NULL;
	struct raft_recovered rec;
	struct raft_config config = {
		.election_timeout_us = CONTROL_ELECTION_TIMEOUT_US,
		.heartbeat_interval_us = CONTROL_HEARTBEAT_INTERVAL_US,
		.snapshot_entries = CONTROL_SNAPSHOT_ENTRIES,
		.seed = (uint64_t)g_random_int() << 32 | g_random_int(),
	};

	if (g_mkdir_with_parents(node->folder, 0700) ||
	    !load_identity(node, error)) {
		if (error && !*error)
			g_set_error(
				error, CW_ERROR, CW_ERROR_IO,
				"%s cannot be created: %s; correct the data "
				"folder",
				node->folder, g_strerror(errno));
		return false;
	}
	node->disk.store =
		store_open(folder,
			   node->config.file_ops ? node->config.file_ops :
						   &store_posix_file_ops,
			   node->config.file_data, node->id, &rec, error);
	if (!node->disk.store)
		return false;
	if (!rec.members.nr && (node->id & UINT32_MAX) == FOUNDER_NUMBER &&
	    !create_group(node, &rec, &bytes, error))
		return false;
	config.id = node->id;
	node->disk.failed = false;
	node->disk.dirty = false;
	node->raft = raft_new(&config, &rec, &raft_ops, node, clock_now_us());
	event_log_always("store_opened", "{s:I, s:I, s:I, s:i, s:I}", "id",
			 (json_int_t)node->id, "term",
			 (json_int_t)rec.hard_state.term, "index",
			 (json_int_t)(rec.snapshot_index + rec.nr_entries),
			 "members", (int)rec.members.nr, "config",
			 (json_int_t)node->reg.version);
	return !node->disk.failed;
}

bool control_storage_open(struct control_node *node, GError **error)
{
	if (open_store(node, error))
		return true;
	control_storage_close(node);
	return false;
}

void control_storage_close(struct control_node *node)
{
	g_clear_pointer(&node->raft, raft_free);
	g_clear_pointer(&node->disk.store, store_close);
	node->disk.dirty = false;
	node->lead_term = 0;
	node->lead_term_applied = false;
}

static void become_leader(struct control_node *node)
{
	node->lead_term = raft_term(node->raft);
	node->lead_term_applied = false;
	g_hash_table_remove_all(node->promotion_states);
	control_count(node, CONTROL_COUNT_ELECTIONS, 1);
	event_log_always("leads", "{s:I, s:I}", "term",
			 (json_int_t)node->lead_term, "id",
			 (json_int_t)node->id);
}

void control_leadership_update(struct control_node *node)
{
	bool is_leader = node->raft && raft_is_leader(node->raft);

	if (node->lead_term &&
	    (!is_leader || raft_term(node->raft) != node->lead_term)) {
		event_log_always("leads_no_more", "{s:I}", "term",
				 (json_int_t)node->lead_term);
		node->lead_term = 0;
		node->lead_term_applied = false;
	}
	if (is_leader && !node->lead_term)
		become_leader(node);
	if (node->raft && raft_leader(node->raft) != node->last_leader) {
		node->last_leader = raft_leader(node->raft);
		if (node->last_leader && node->last_leader != node->id)
			node->other_leader_us = clock_now_us();
		node->views_due = true;
		event_log("leader_changed", "{s:I, s:I}", "leader",
			  (json_int_t)node->last_leader, "term",
			  (json_int_t)raft_term(node->raft));
	}
}

void control_storage_flush(struct control_node *node)
{
	unsigned i;

	for (i = 0; i < RAFT_DISK_SYNCS_PER_ITERATION &&
		    raft_disk_sync(&node->disk, node->raft);
	     i++)
		control_leadership_update(node);
	if (node->disk.failed && node->raft)
		control_storage_close(node);
}
