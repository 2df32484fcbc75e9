#include "ctl.h"

int main(int argc, char **argv)
{
	const struct ctl_streams streams = { stdin, stdout, stderr };

	return ctl_main(argc, argv, &streams);
}
