#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/**
 * clock_now_us() - read CLOCK_BOOTTIME in microseconds
 *
 * The clock is monotonic and, unlike CLOCK_MONOTONIC, includes the time during
 * which the VM is suspended, so that leases expire across a suspension.
 */
int64_t clock_now_us(void);

#endif
