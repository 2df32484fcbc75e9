#ifndef CONFIG_REGISTER_H
#define CONFIG_REGISTER_H

#include "messages.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: State machine of the control group: the committed configuration.
 *
 * Deterministic and without I/O. The highest version wins, and the first
 * document with a given version is kept. The document is opaque.
 */

/**
 * struct config_register - the newest committed configuration
 * @version: 0 if there is none
 * @document: NULL if there is none
 */
struct config_register {
	uint64_t version;
	GBytes *document;
};

void config_register_init(struct config_register *reg);
void config_register_finish(struct config_register *reg);

/**
 * config_register_set_if_newer() - store a newer configuration
 * Return: whether it was replaced
 */
bool config_register_set_if_newer(struct config_register *reg, uint64_t version,
				  GBytes *document);

/**
 * config_change_pack() - encode a configuration as a log entry or snapshot
 * Return: @len bytes, to be freed with g_free()
 */
uint8_t *config_change_pack(uint64_t version, GBytes *document, size_t *len);

/** config_register_take() - apply a decoded log entry or snapshot */
void config_register_take(struct config_register *reg,
			  const Wire__ConfigChange *change);

/**
 * config_register_apply() - apply a log entry or a snapshot
 * Return: false if @bytes cannot be decoded; nothing changes then
 */
bool config_register_apply(struct config_register *reg, const uint8_t *bytes,
			   size_t len);

#endif
