#include "error.h"

G_DEFINE_QUARK(cw - error - quark, cw_error)
