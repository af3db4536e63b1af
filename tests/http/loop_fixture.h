#ifndef QL_TESTS_HTTP_LOOP_FIXTURE_H
#define QL_TESTS_HTTP_LOOP_FIXTURE_H

#include "net/loop.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

/* An event loop that the test runs until a condition holds. */
class LoopFixture
{
      public:
	ql_loop_t loop;

	LoopFixture()
	{
		EXPECT_EQ(0, ql_loop_init(&loop, nullptr));
	}

	~LoopFixture()
	{
		ql_loop_finish(&loop);
	}

	/* Returns false if that takes 20,000 iterations, about 10 s. */
	bool run_until(const std::function<bool()> &condition)
	{
		for (int i = 0; i < 20000; i++) {
			if (condition())
				return true;
			uv_run(&loop.uv, UV_RUN_NOWAIT);
			usleep(500);
		}
		return false;
	}

	void run_iterations(int iterations)
	{
		for (int i = 0; i < iterations; i++) {
			uv_run(&loop.uv, UV_RUN_NOWAIT);
			usleep(200);
		}
	}
};

inline sockaddr_in loopback(uint16_t port)
{
	sockaddr_in address = {};

	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(port);
	return address;
}

inline uint16_t port_of(const uv_tcp_t *socket)
{
	sockaddr_in address = {};
	int length = sizeof(address);

	uv_tcp_getsockname(socket, (sockaddr *)&address, &length);
	return ntohs(address.sin_port);
}

/* A non-blocking TCP socket of the test, without any HTTP handling. */
class RawSocket
{
      public:
	int fd;
	std::string received;
	bool closed_by_peer = false;

	explicit RawSocket(int accepted) : fd(accepted)
	{
		fcntl(fd, F_SETFL, O_NONBLOCK);
	}

	static RawSocket connect_to(uint16_t port)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in address = loopback(port);

		EXPECT_EQ(0,
			  connect(fd, (sockaddr *)&address, sizeof(address)));
		return RawSocket(fd);
	}

	RawSocket(RawSocket &&other) noexcept : fd(other.fd)
	{
		other.fd = -1;
	}

	~RawSocket()
	{
		if (fd >= 0)
			close(fd);
	}

	void send(const std::string &bytes)
	{
		EXPECT_EQ((ssize_t)bytes.size(),
			  ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL));
	}

	void poll()
	{
		char bytes[65536];
		ssize_t n = recv(fd, bytes, sizeof(bytes), 0);

		if (n > 0)
			received.append(bytes, (size_t)n);
		else if (!n || (errno != EAGAIN && errno != EINTR))
			closed_by_peer = true;
	}

	/* Checks whether the bytes received so far contain a text. */
	bool has(const std::string &text)
	{
		poll();
		return received.find(text) != std::string::npos;
	}

	bool is_closed_by_peer()
	{
		poll();
		return closed_by_peer;
	}
};

#endif
