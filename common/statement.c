#include "statement.h"

const char *refusal_text(enum refusal refusal)
{
	static const char *const texts[REFUSAL_NR] = {
		[REFUSAL_NONE] = "done",
		[REFUSAL_BUSY] = "busy",
		[REFUSAL_ABORTED] = "aborted",
		[REFUSAL_BEHIND] = "behind",
		[REFUSAL_NOT_PRIMARY] = "not primary",
		[REFUSAL_WRONG_UPSTREAM] = "wrong upstream",
		[REFUSAL_TOO_MANY_CONNECTIONS] = "too many connections",
		[REFUSAL_NO_STATEMENT] = "no such statement",
		[REFUSAL_NO_DATABASE] = "no such database",
		[REFUSAL_UNKNOWN_KEY] = "unknown key",
		[REFUSAL_MALFORMED] = "malformed",
		[REFUSAL_FAILED] = "failed",
		[REFUSAL_TIMEOUT] = "timed out",
		[REFUSAL_IN_DOUBT] = "in doubt",
	};

	return refusal < REFUSAL_NR ? texts[refusal] : "unknown";
}
