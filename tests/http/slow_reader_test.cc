#include "listener_fixture.h"

namespace
{

/* More than the kernel takes at once from a client that does not read. */
constexpr size_t kBodyBytes = 8000000;
constexpr int kReceiveBufferBytes = 65536;
/* The client takes more than the linger timeout for the last queued bytes. */
constexpr useconds_t kReadIntervalUs = 25000;

struct SlowReaderCase {
	const char *name;
	const char *headers;
	/* The listener closes each connection after its response. */
	bool is_stopping;
	/* Limit of connections that are kept alive; 0 is no limit. */
	uint32_t keep_alive_max;
};

/*
 * Guards against the end of a connection whose client still reads the last
 * response: the time that it has to close must not run before that.
 */
class SlowReader : public ListenerFixture,
		   public testing::WithParamInterface<SlowReaderCase>
{
      protected:
	static void handle(void *, ql_http_exchange_t *exchange)
	{
		std::string body(kBodyBytes, 'b');

		ql_http_exchange_write_head(exchange, 200, nullptr, kBodyBytes);
		ql_http_exchange_write(exchange, body.data(), body.size());
		ql_http_exchange_end(exchange);
	}

	RawSocket connect_reader()
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int bytes = kReceiveBufferBytes;
		sockaddr_in address = loopback(port_of(&listener.socket));

		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
		EXPECT_EQ(0,
			  connect(fd, (sockaddr *)&address, sizeof(address)));
		return RawSocket(fd);
	}
};

TEST_P(SlowReader, GetsTheWholeLastResponse)
{
	const SlowReaderCase &test = GetParam();
	size_t end;

	start_listening(handle, nullptr);
	listener.opts.keep_alive_max = test.keep_alive_max;
	RawSocket other = connect_client(), client = connect_reader();

	event_loop.run_iterations(2);
	if (test.is_stopping)
		ql_listener_disable_keep_alive(&listener);
	client.send(std::string("GET / HTTP/1.1\r\nHost: h\r\n") +
		    test.headers + "\r\n");
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, listener.n_exchanges);
	EXPECT_LT(0u, ql_listener_count_unfinished(&listener));
	end = client.received.find("\r\n\r\n") + 4 + kBodyBytes;
	while (client.received.size() < end && !client.closed_by_peer) {
		usleep(kReadIntervalUs);
		event_loop.run_iterations(1);
		client.poll();
	}
	EXPECT_EQ(end, client.received.size());
	EXPECT_TRUE(event_loop.run_until([&] {
		client.poll();
		return client.closed_by_peer;
	}));
	close(client.fd);
	client.fd = -1;
	EXPECT_TRUE(event_loop.run_until(
		[&] { return !ql_listener_count_unfinished(&listener); }));
}

INSTANTIATE_TEST_SUITE_P(
	Ends, SlowReader,
	testing::Values(SlowReaderCase{"Stop", "", true, 0},
			SlowReaderCase{"ClientCloses", "Connection: close\r\n",
				       false, 0},
			SlowReaderCase{"ManyConnections", "", false, 1}),
	[](const auto &test) { return test.param.name; });

} // namespace
