#include "path_fixture.h"
#include "quetzalloft/clock.h"

namespace
{

const char *ROUTES =
	"{\"get\":{\"path\":\"/get/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000},"
	"\"order\":{\"path\":\"/order/\",\"service\":\"a\",\"class\":\"high\","
	"\"idempotent\":false,\"deadline_ms\":60000},"
	"\"soon\":{\"path\":\"/soon/\",\"service\":\"a\",\"class\":\"high\","
	"\"idempotent\":true,\"deadline_ms\":60000}}";

struct Case {
	const char *name;
	const char *first;
	/* How long requests like the first one usually take. */
	uint64_t typical_s;
	/* Whether others were read behind such ones lately. */
	bool followed_lately;
	/* How long the client waits for the second one. */
	const char *second_time_ms;
	bool gives_way;
	bool is_remembered;
};

class Pipelined : public PathFixture, public testing::WithParamInterface<Case>
{
      protected:
	std::unique_ptr<RawSocket> first_;
	std::unique_ptr<RawSocket> second_;

	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
		for (size_t i = 0; i < front.doc->n_routes; i++)
			learn(front.routes[i]);
	}

	void learn(ql_front_route_t *route)
	{
		route->typical_latency_us =
			(double)(GetParam().typical_s * QL_US_PER_S);
		if (GetParam().followed_lately)
			route->last_blocking_us =
				ql_loop_now_us(&event_loop.loop);
	}

	bool is_remembered()
	{
		for (size_t i = 0; i < front.doc->n_routes; i++)
			if (front.routes[i]->last_blocking_us)
				return true;
		return false;
	}

	static std::string request(const std::string &path, const char *id,
				   const std::string &more)
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
		       "\r\n" + more + "\r\n";
	}

	void send_both(RawSocket *client)
	{
		std::string time = GetParam().second_time_ms;

		client->send(request(GetParam().first, "first", "") +
			     request("/soon/1", "second",
				     time.empty()
					     ? ""
					     : "Time-Ms: " + time + "\r\n"));
	}

	/* A connection to the endpoint, which has one request. */
	void accept_request()
	{
		auto server = accept_connection();

		ASSERT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		(server->has("Id: second") ? second_ : first_) =
			std::move(server);
	}

	static void answer(RawSocket *server, const std::string &id)
	{
		server->send("HTTP/1.1 200 OK\r\nId: " + id +
			     "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok");
	}
};

/*
 * Guards against: a client that no longer waits for a short request behind a
 * long one closes the connection, and the answer that was ready and all the
 * work done for the long one are lost.
 */
TEST_P(Pipelined, ALongReadGivesWayBeforeItIsSent)
{
	const Case &test = GetParam();
	RawSocket client = connect_client();

	send_both(&client);
	accept_request();
	if (test.gives_way) {
		ASSERT_TRUE(second_);
		answer(second_.get(), "second");
		ASSERT_TRUE(
			event_loop.run_until([&] { return client.has("ok"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 503 "));
		EXPECT_NE(std::string::npos, client.received.find("gave-way"));
		EXPECT_NE(std::string::npos, client.received.find("not-run"));
	} else {
		accept_request();
		ASSERT_TRUE(first_ && second_);
		answer(second_.get(), "second");
		event_loop.run_iterations(50);
		EXPECT_EQ("", client.received);
		answer(first_.get(), "first");
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("Id: second"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 200 "));
	}
	EXPECT_EQ(test.gives_way, counter_value(QL_COUNT_GAVE_WAY));
	EXPECT_EQ(test.is_remembered, is_remembered());
}

INSTANTIATE_TEST_SUITE_P(Cases, Pipelined,
			 testing::Values(Case{"TooLate", "/get/1", 50, true,
					      "30000", true, true},
					 Case{"TheFirstOfItsKind", "/get/1", 50,
					      false, "30000", false, true},
					 Case{"InTime", "/get/1", 10, true,
					      "30000", false, true},
					 Case{"InTimeAndTheFirst", "/get/1", 10,
					      false, "30000", false, false},
					 Case{"NotToBeRepeated", "/order/1", 50,
					      true, "30000", false, true},
					 Case{"NobodySaysHowLong", "/get/1", 10,
					      true, "", false, true}),
			 [](const auto &test) { return test.param.name; });

/* What was held back is still told how it ended when its client leaves. */
TEST_P(Pipelined, AClientMayLeaveWhileItsRequestIsHeldBack)
{
	{
		RawSocket client = connect_client();

		client.send(request("/get/1", "first", ""));
		ASSERT_TRUE(event_loop.run_until([&] {
			return counter_value(QL_COUNT_CLIENT_REQUESTS) == 1;
		}));
	}
	ASSERT_TRUE(event_loop.run_until(
		[&] { return counter_value(QL_COUNT_CLIENT_CANCELLED) == 1; }));
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
}

} // namespace
