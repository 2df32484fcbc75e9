#ifndef CONTROL_TASK_H
#define CONTROL_TASK_H

#include "settings.h"

/**
 * DOC: The control role of a VM with a disk, a thread with its own loop.
 *
 * Owns the durable log, the agreement, the agreed state and the fail-over
 * runs. It talks to proxies, other control VMs and the operators' tool over
 * its bus endpoint only.
 */

struct control_task;

/**
 * control_task_start() - open the store, bind the endpoint, start the thread
 * @settings: must outlive the task
 */
struct control_task *control_task_start(const struct settings *settings,
					GError **error);

/** control_task_stop() - end the thread and close the store */
void control_task_stop(struct control_task *task);

#endif
