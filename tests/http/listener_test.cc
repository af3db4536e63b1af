#include "listener_fixture.h"

#include <vector>

namespace
{

class Listener : public ListenerFixture
{
      protected:
	std::vector<ql_http_exchange_t *> taken;
	int cancelled = 0;

	void SetUp() override
	{
		start_listening(take, this);
	}

	static void take(void *data, ql_http_exchange_t *exchange)
	{
		static const ql_http_exchange_ops_t ops = {
			[](void *self) {
				static_cast<Listener *>(self)->cancelled++;
			},
			nullptr, nullptr};
		auto *self = static_cast<Listener *>(data);

		exchange->ops = &ops;
		exchange->data = self;
		self->taken.push_back(exchange);
	}

	bool wait_for_requests(size_t n)
	{
		return event_loop.run_until([&] { return taken.size() == n; });
	}

	void answer(size_t i, const std::string &body)
	{
		ql_http_exchange_write_head(taken[i], 200, nullptr,
					    (int64_t)body.size());
		ql_http_exchange_write(taken[i], body.data(), body.size());
		ql_http_exchange_end(taken[i]);
	}
};

TEST_F(Listener, AnswersPipelinedRequestsInTheirOrder)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n"
		    "POST /3 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
	ASSERT_TRUE(wait_for_requests(3));
	EXPECT_STREQ("/2", taken[1]->target->str);
	EXPECT_EQ(3u, taken[2]->body->len);
	answer(2, "three");
	answer(1, "two");
	event_loop.run_iterations(10);
	client.poll();
	EXPECT_EQ("", client.received);
	answer(0, "one");
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("three"); }));
	EXPECT_LT(client.received.find("one"), client.received.find("two"));
	EXPECT_LT(client.received.find("two"), client.received.find("three"));
}

TEST_F(Listener, TellsWhenTheClientHasGone)
{
	{
		RawSocket client = connect_client();

		client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
		ASSERT_TRUE(wait_for_requests(2));
	}
	EXPECT_TRUE(event_loop.run_until([&] { return cancelled == 2; }));
}

TEST_F(Listener, AnAbortedAnswerDoesNotLookWhole)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(wait_for_requests(1));
	ql_http_exchange_write_head(taken[0], 200, nullptr, -1);
	ql_http_exchange_write(taken[0], "part", 4);
	ql_http_exchange_abort(taken[0]);
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
	EXPECT_EQ("abcde", std::string((char *)taken[0]->body->data,
				       taken[0]->body->len));
	answer(0, "");
}

TEST_F(Listener, ClosesWithTheLastAnswerWhenItCloses)
{
	RawSocket client = connect_client();

	client.send("GET /1 HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(wait_for_requests(1));
	ql_listener_disable_keep_alive(&listener);
	answer(0, "body");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.is_closed_by_peer(); }));
	EXPECT_NE(std::string::npos, client.received.find("Connection: close"));
	EXPECT_NE(std::string::npos, client.received.find("body"));
}

/* Clients that came again on new connections left the old ones open until a
 * node had no descriptor left. */
TEST_F(Listener, KeepsNoConnectionWhenThereAreManyOfThem)
{
	std::vector<RawSocket> clients;

	listener.opts.keep_alive_max = 3;
	for (size_t i = 0; i < 5; i++) {
		clients.push_back(connect_client());
		clients[i].send("GET /1 HTTP/1.1\r\n\r\n");
		ASSERT_TRUE(wait_for_requests(i + 1));
	}
	answer(4, "last");
	answer(3, "fourth");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return clients[4].is_closed_by_peer(); }));
	ASSERT_TRUE(
		event_loop.run_until([&] { return clients[3].has("fourth"); }));
	EXPECT_NE(std::string::npos,
		  clients[4].received.find("Connection: close"));
	for (size_t i = 0; i < 3; i++)
		answer(i, "kept");
	ASSERT_TRUE(
		event_loop.run_until([&] { return clients[0].has("kept"); }));
}

/* RFC 9112, sections 6 and 11.2, and the limits of the listener. */
struct Refusal {
	const char *name;
	std::string request;
	const char *status;
};

class ListenerRefuses : public Listener,
			public testing::WithParamInterface<Refusal>
{
};

TEST_P(ListenerRefuses, AndServesNothingBehind)
{
	RawSocket client = connect_client();

	client.send(GetParam().request + "GET /smuggled HTTP/1.1\r\n\r\n");
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.is_closed_by_peer(); }));
	EXPECT_EQ(0u, client.received.find(GetParam().status))
		<< client.received;
	EXPECT_EQ(client.received.rfind("HTTP/1.1"), 0u);
	EXPECT_TRUE(taken.empty());
}

INSTANTIATE_TEST_SUITE_P(
	Requests, ListenerRefuses,
	testing::Values(
		Refusal{"TwoLengths",
			"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
			"Content-Length: 4\r\n\r\nabcd",
			"HTTP/1.1 400"},
		Refusal{"TwoEqualLengths",
			"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
			"Content-Length: 3\r\n\r\nabc",
			"HTTP/1.1 400"},
		Refusal{"ListOfLengths",
			"POST / HTTP/1.1\r\nContent-Length: 3, 4\r\n\r\nabcd",
			"HTTP/1.1 400"},
		Refusal{"LengthAndChunked",
			"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
			"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"ChunkedAndLength",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
			"Content-Length: 3\r\n\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"UnknownCoding",
			"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n"
			"\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"ChunkedNotLast",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked, x"
			"\r\n\r\n0\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"NegativeLength",
			"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"HugeLength",
			"POST / HTTP/1.1\r\nContent-Length: "
			"99999999999999999999\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"SpaceBeforeColon",
			"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc",
			"HTTP/1.1 400"},
		Refusal{"BadChunkSize",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			"zz\r\n",
			"HTTP/1.1 400"},
		Refusal{"NoRequest", "\x16\x03\x01garbage\r\n\r\n",
			"HTTP/1.1 400"},
		Refusal{"LongHead",
			"GET / HTTP/1.1\r\nA: " + std::string(1500, 'a') +
				"\r\n\r\n",
			"HTTP/1.1 431"},
		Refusal{"LongBody",
			"POST / HTTP/1.1\r\nContent-Length: 2001\r\n\r\n",
			"HTTP/1.1 413"},
		Refusal{"LongChunkedBody",
			"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
			"9c4\r\n" +
				std::string(2500, 'b') + "\r\n0\r\n\r\n",
			"HTTP/1.1 413"},
		Refusal{"Connect", "CONNECT h:1 HTTP/1.1\r\n\r\n",
			"HTTP/1.1 501"}),
	[](const auto &refusal) { return refusal.param.name; });

} // namespace
