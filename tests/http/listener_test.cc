#include "listener_fixture.h"

#include <vector>

namespace
{

class Listener : public ListenerFixture
{
      protected:
	std::vector<ql_http_exchange_t *> exchanges;
	int cancelled = 0;

	void SetUp() override
	{
		start_listening(handle_request, this);
	}

	static void handle_request(void *data, ql_http_exchange_t *exchange)
	{
		static const ql_http_exchange_ops_t ops = {
			[](void *self) {
				static_cast<Listener *>(self)->cancelled++;
			},
			nullptr, nullptr};
		auto *self = static_cast<Listener *>(data);

		exchange->ops = &ops;
		exchange->data = self;
		self->exchanges.push_back(exchange);
	}

	bool wait_for_requests(size_t n)
	{
		return event_loop.run_until(
			[&] { return exchanges.size() == n; });
	}

	void respond(size_t i, const std::string &body)
	{
		ql_http_exchange_write_head(exchanges[i], 200, nullptr,
					    (int64_t)body.size());
		ql_http_exchange_write(exchanges[i], body.data(), body.size());
		ql_http_exchange_end(exchanges[i]);
	}
};

TEST_F(Listener, RespondsToPipelinedRequestsInOrder)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
		    "POST /3 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
	ASSERT_TRUE(wait_for_requests(3));
	EXPECT_STREQ("/2", exchanges[1]->target->str);
	EXPECT_EQ(3u, exchanges[2]->body->len);
	respond(2, "three");
	respond(1, "two");
	event_loop.run_iterations(10);
	client.poll();
	EXPECT_EQ("", client.received);
	respond(0, "one");
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("three"); }));
	EXPECT_LT(client.received.find("one"), client.received.find("two"));
	EXPECT_LT(client.received.find("two"), client.received.find("three"));
}

TEST_F(Listener, CancelsExchangesWhenTheClientDisconnects)
{
	{
		RawSocket client = connect_client();

		client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
		ASSERT_TRUE(wait_for_requests(2));
	}
	EXPECT_TRUE(event_loop.run_until([&] { return cancelled == 2; }));
}

/* An interim response must not come before the response to another request. */
TEST_F(Listener, ContinueFollowsEarlierResponses)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\n"
		    "POST /2 HTTP/1.1\r\nExpect: 100-continue\r\n"
		    "Content-Length: 2\r\n\r\n");
	ASSERT_TRUE(wait_for_requests(1));
	event_loop.run_iterations(10);
	client.poll();
	EXPECT_EQ("", client.received);
	respond(0, "one");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.has("100 Continue"); }));
	EXPECT_LT(client.received.find("one"),
		  client.received.find("100 Continue"));
	client.send("ab");
	ASSERT_TRUE(wait_for_requests(2));
	respond(1, "two");
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("two"); }));
}

TEST_F(Listener, AbortedResponseIsNotComplete)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(wait_for_requests(1));
	ql_http_exchange_write_head(exchanges[0], 200, nullptr, -1);
	ql_http_exchange_write(exchanges[0], "part", 4);
	ql_http_exchange_abort(exchanges[0]);
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.is_closed_by_peer(); }));
	EXPECT_EQ(std::string::npos, client.received.find("0\r\n\r\n"));
}

TEST_F(Listener, ChunkedBodiesAreJoined)
{
	RawSocket client = connect_client();

	client.send("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n");
	ASSERT_TRUE(wait_for_requests(1));
	EXPECT_EQ("abcde", std::string((char *)exchanges[0]->body->data,
				       exchanges[0]->body->len));
	respond(0, "");
}

TEST_F(Listener, ClosesAfterTheLastResponseWithoutKeepAlive)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(wait_for_requests(1));
	ql_listener_disable_keep_alive(&listener);
	respond(0, "body");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.is_closed_by_peer(); }));
	EXPECT_NE(std::string::npos, client.received.find("Connection: close"));
	EXPECT_NE(std::string::npos, client.received.find("body"));
}

/*
 * Guards against running out of file descriptors: clients that reconnect
 * without closing their old connections left these open.
 */
TEST_F(Listener, ClosesAfterAResponseAboveTheKeepAliveLimit)
{
	std::vector<RawSocket> clients;

	listener.opts.keep_alive_max = 3;
	for (size_t i = 0; i < 5; i++) {
		clients.push_back(connect_client());
		clients[i].send("GET /1 HTTP/1.1\r\n\r\n");
		ASSERT_TRUE(wait_for_requests(i + 1));
	}
	respond(4, "last");
	respond(3, "fourth");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return clients[4].is_closed_by_peer(); }));
	ASSERT_TRUE(
		event_loop.run_until([&] { return clients[3].has("fourth"); }));
	EXPECT_NE(std::string::npos,
		  clients[4].received.find("Connection: close"));
	for (size_t i = 0; i < 3; i++)
		respond(i, "kept");
	ASSERT_TRUE(
		event_loop.run_until([&] { return clients[0].has("kept"); }));
}

/*
 * Requests to refuse by RFC 9112, sections 6 and 11.2, and by the limits of the
 * listener.
 */
struct InvalidRequest {
	const char *name;
	std::string request;
	const char *status;
};

class ListenerInvalidRequest
    : public Listener,
      public testing::WithParamInterface<InvalidRequest>
{
};

TEST_P(ListenerInvalidRequest, IsRefusedWithAllBytesBehindIt)
{
	RawSocket client = connect_client();

	client.send(GetParam().request + "GET /smuggled HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.is_closed_by_peer(); }));
	EXPECT_EQ(0u, client.received.find(GetParam().status))
		<< client.received;
	EXPECT_EQ(client.received.rfind("HTTP/1.1"), 0u);
	EXPECT_TRUE(exchanges.empty());
}

INSTANTIATE_TEST_SUITE_P(
	Requests, ListenerInvalidRequest,
	testing::Values(
		InvalidRequest{"TwoLengths",
			       "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
			       "Content-Length: 4\r\n\r\nabcd",
			       "HTTP/1.1 400"},
		InvalidRequest{"TwoEqualLengths",
			       "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
			       "Content-Length: 3\r\n\r\nabc",
			       "HTTP/1.1 400"},
		InvalidRequest{
			"ListOfLengths",
			"POST / HTTP/1.1\r\nContent-Length: 3, 4\r\n\r\nabcd",
			"HTTP/1.1 400"},
		InvalidRequest{"LengthAndChunked",
			       "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			       "HTTP/1.1 400"},
		InvalidRequest{
			"ChunkedAndLength",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
			"Content-Length: 3\r\n\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		InvalidRequest{
			"UnknownCoding",
			"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n"
			"\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		InvalidRequest{
			"ChunkedNotLast",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, x"
			"\r\n\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		InvalidRequest{"NegativeLength",
			       "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
			       "HTTP/1.1 400"},
		InvalidRequest{"LengthOverflow",
			       "POST / HTTP/1.1\r\nContent-Length: "
			       "99999999999999999999\r\n\r\n",
			       "HTTP/1.1 400"},
		InvalidRequest{
			"SpaceBeforeColon",
			"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
			"HTTP/1.1 400"},
		InvalidRequest{
			"FoldedLine",
			"POST / HTTP/1.1\r\nX: 1\r\n Content-Length: 3\r\n\r\n",
			"HTTP/1.1 400"},
		InvalidRequest{
			"CodingOfHttp10",
			"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
			"0\r\n\r\n",
			"HTTP/1.1 400"},
		InvalidRequest{
			"BadChunkSize",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			"zz\r\n",
			"HTTP/1.1 400"},
		InvalidRequest{"NotHttp", "\x16\x03\x01garbage\r\n\r\n",
			       "HTTP/1.1 400"},
		InvalidRequest{"HeadAboveLimit",
			       "GET / HTTP/1.1\r\nA: " +
				       std::string(1500, 'a') + "\r\n\r\n",
			       "HTTP/1.1 431"},
		InvalidRequest{
			"BodyAboveLimit",
			"POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n",
			"HTTP/1.1 413"},
		InvalidRequest{
			"ChunkedBodyAboveLimit",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			"9c4\r\n" +
				std::string(2500, 'b') + "\r\n0\r\n\r\n",
			"HTTP/1.1 413"},
		InvalidRequest{"Connect", "CONNECT h:1 HTTP/1.1\r\n\r\n",
			       "HTTP/1.1 501"}),
	[](const auto &test) { return test.param.name; });

} // namespace
