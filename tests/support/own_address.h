#ifndef QL_TESTS_OWN_ADDRESS_H
#define QL_TESTS_OWN_ADDRESS_H

#include <cstdio>
#include <string>
#include <unistd.h>

/*
 * A loopback address derived from the process ID, on which no other process
 * listens: tests run in parallel, and the nodes started by test scripts use the
 * ports of 127.0.0.1.
 */
inline std::string own_address(unsigned int port)
{
	unsigned int pid = (unsigned int)getpid();
	char text[sizeof("127.255.255.255:65535")];

	snprintf(text, sizeof(text), "127.%u.%u.%u:%u", 64 + (pid >> 16 & 63),
		 pid >> 8 & 255, pid & 255, port & 65535);
	return text;
}

#endif
