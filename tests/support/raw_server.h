#ifndef TESTS_SUPPORT_RAW_SERVER_H
#define TESTS_SUPPORT_RAW_SERVER_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>

/**
 * A TCP server on a free loopback port that replies to each request with bytes
 * chosen by the test, well-formed or not. It serves one connection at a time.
 */
class RawServer
{
      public:
	struct Reply {
		std::string bytes;
		bool close_connection;
	};

	/* Gets the number of the request over all connections, from 0. */
	using ReplyFunction = std::function<Reply(int)>;

	explicit RawServer(ReplyFunction reply_to) : reply_to_(reply_to)
	{
		sockaddr_in address = {};
		socklen_t length = sizeof(address);

		listener_ = socket(AF_INET, SOCK_STREAM, 0);
		address.sin_family = AF_INET;
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(listener_, (sockaddr *)&address, sizeof(address));
		listen(listener_, 8);
		getsockname(listener_, (sockaddr *)&address, &length);
		port_ = ntohs(address.sin_port);
		thread_ = std::thread([this] { serve(); });
	}

	~RawServer()
	{
		stopping_ = true;
		shutdown(listener_, SHUT_RDWR);
		if (connection_ >= 0)
			shutdown(connection_, SHUT_RDWR);
		thread_.join();
		close(listener_);
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	int requests() const
	{
		return requests_;
	}

      private:
	void serve()
	{
		int fd;

		while (!stopping_ &&
		       (fd = accept(listener_, nullptr, nullptr)) >= 0)
			serve_connection(fd);
	}

	/* Reads up to the blank line; requests must have no body. */
	static bool read_request(int fd)
	{
		std::string text;
		char byte;

		while (recv(fd, &byte, 1, 0) == 1) {
			text += byte;
			if (text.size() >= 4 &&
			    !text.compare(text.size() - 4, 4, "\r\n\r\n"))
				return true;
		}
		return false;
	}

	void serve_connection(int fd)
	{
		connection_ = fd;
		while (!stopping_ && read_request(fd)) {
			Reply reply = reply_to_(requests_++);

			send(fd, reply.bytes.data(), reply.bytes.size(),
			     MSG_NOSIGNAL);
			if (reply.close_connection)
				break;
		}
		connection_ = -1;
		close(fd);
	}

	ReplyFunction reply_to_;
	int listener_;
	unsigned int port_;
	std::atomic<bool> stopping_{false};
	std::atomic<int> requests_{0};
	std::atomic<int> connection_{-1};
	std::thread thread_;
};

#endif
