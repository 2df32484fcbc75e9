#ifndef CONFIG_REGISTER_H
#define CONFIG_REGISTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: The configuration that the control group agrees on.
 *
 * Pure and deterministic: the highest version wins, and the first content
 * under a version stays. The document is opaque.
 */

/**
 * struct config_register - the newest accepted configuration
 * @version: 0 while there is none
 * @document: NULL while there is none
 */
struct config_register {
	uint64_t version;
	GBytes *document;
};

void config_register_init(struct config_register *reg);
void config_register_finish(struct config_register *reg);

/** config_register_offer() - Return: whether it is now the newest */
bool config_register_offer(struct config_register *reg, uint64_t version,
			   GBytes *document);

/** config_change_pack() - log entry and snapshot form; caller frees */
uint8_t *config_change_pack(uint64_t version, GBytes *document, size_t *len);

/**
 * config_register_apply() - apply a packed change or snapshot
 * Return: false if @bytes cannot be read; nothing changes then
 */
bool config_register_apply(struct config_register *reg, const uint8_t *bytes,
			   size_t len);

#endif
