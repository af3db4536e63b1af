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
	/* Typical latency of all routes, in seconds. */
	uint64_t typical_latency_s;
	/* Head-of-line blocking occurred on all routes recently. */
	bool blocked_recently;
	/* Timeout of the second request as stated by the client, or "". */
	const char *second_timeout_ms;
	/* The first request is refused in favour of the second one. */
	bool is_refused;
	/* Blocking is recorded on some route at the end. */
	bool is_blocking_recorded;
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
			set_route_state(front.routes[i]);
	}

	void set_route_state(ql_front_route_t *route)
	{
		route->typical_latency_us =
			(double)(GetParam().typical_latency_s * QL_US_PER_S);
		if (GetParam().blocked_recently)
			route->last_blocking_us =
				ql_loop_now_us(&event_loop.loop);
	}

	bool is_blocking_recorded()
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
		std::string timeout = GetParam().second_timeout_ms;

		client->send(request(GetParam().first, "first", "") +
			     request("/soon/1", "second",
				     timeout.empty()
					     ? ""
					     : "Time-Ms: " + timeout + "\r\n"));
	}

	/* Accepts a connection to the endpoint and reads its request. */
	void accept_attempt()
	{
		auto server = accept_connection();

		ASSERT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		(server->has("Id: second") ? second_ : first_) =
			std::move(server);
	}

	static void respond(RawSocket *server, const std::string &id)
	{
		server->send("HTTP/1.1 200 OK\r\nId: " + id +
			     "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok");
	}
};

/*
 * Guards against head-of-line blocking: a client that times out on a short
 * request behind a long one closes the connection, which loses the completed
 * response and the work done for the long request.
 */
TEST_P(Pipelined, LongRequestIsRefusedBeforeItIsForwarded)
{
	const Case &test = GetParam();
	RawSocket client = connect_client();

	send_both(&client);
	accept_attempt();
	if (test.is_refused) {
		ASSERT_TRUE(second_);
		respond(second_.get(), "second");
		ASSERT_TRUE(
			event_loop.run_until([&] { return client.has("ok"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 503 "));
		EXPECT_NE(std::string::npos, client.received.find("gave-way"));
		EXPECT_NE(std::string::npos, client.received.find("not-run"));
	} else {
		accept_attempt();
		ASSERT_TRUE(first_ && second_);
		respond(second_.get(), "second");
		event_loop.run_iterations(50);
		EXPECT_EQ("", client.received);
		respond(first_.get(), "first");
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("Id: second"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 200 "));
	}
	EXPECT_EQ(test.is_refused, counter_value(QL_COUNT_GAVE_WAY));
	EXPECT_EQ(test.is_blocking_recorded, is_blocking_recorded());
}

INSTANTIATE_TEST_SUITE_P(Cases, Pipelined,
			 testing::Values(Case{"TimesOutBehindIt", "/get/1", 50,
					      true, "30000", true, true},
					 Case{"NoBlockingBefore", "/get/1", 50,
					      false, "30000", false, true},
					 Case{"CompletesInTime", "/get/1", 10,
					      true, "30000", false, true},
					 Case{"CompletesInTimeNoBlockingBefore",
					      "/get/1", 10, false, "30000",
					      false, false},
					 Case{"NotIdempotent", "/order/1", 50,
					      true, "30000", false, true},
					 Case{"NoTimeoutStated", "/get/1", 10,
					      true, "", false, true}),
			 [](const auto &test) { return test.param.name; });

/* A request is also released if its client disconnects during the delay. */
TEST_P(Pipelined, ClientDisconnectsWhileItsRequestIsDelayed)
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
