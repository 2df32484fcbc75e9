#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/**
 * clock_now_us() - microseconds of a clock that only moves forward
 *
 * It goes on while the VM is suspended, unlike CLOCK_MONOTONIC, so that a
 * lease does not outlive a suspension.
 */
int64_t clock_now_us(void);

#endif
