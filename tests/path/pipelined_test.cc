#include "path_world.h"
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
	/* How long the client waits for the second one. */
	const char *second_time_ms;
	bool stopping;
	bool gives_way;
};

class Pipelined : public PathWorld, public testing::WithParamInterface<Case>
{
      protected:
	std::unique_ptr<RawSocket> first_;
	std::unique_ptr<RawSocket> second_;

	void SetUp() override
	{
		PathWorld::SetUp();
		set_document(ROUTES);
		announce();
		for (size_t i = 0; i < front.doc->n_routes; i++)
			front.routes[i]->typical_us =
				(double)(GetParam().typical_s * QL_US_PER_S);
		front.opts.is_stopping = [](void *) {
			return GetParam().stopping;
		};
	}

	static std::string request(const std::string &path, const char *id,
				   const std::string &more)
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: " + id +
		       "\r\n" + more + "\r\n";
	}

	/* The connections to the endpoint, which each have one request. */
	void accept_both()
	{
		for (int i = 0; i < 2; i++) {
			auto server = accept_one();

			ASSERT_TRUE(world.turn_until(
				[&] { return server->has("\r\n\r\n"); }));
			(server->has("Id: second") ? second_ : first_) =
				std::move(server);
		}
		ASSERT_TRUE(first_ && second_);
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
TEST_P(Pipelined, ALongReadGivesWayToAReadyAnswer)
{
	const Case &test = GetParam();
	RawSocket client = open();
	std::string time = test.second_time_ms;

	client.send(request(test.first, "first", "") +
		    request("/soon/1", "second",
			    time.empty() ? "" : "Time-Ms: " + time + "\r\n"));
	accept_both();
	answer(second_.get(), "second");
	if (test.gives_way) {
		ASSERT_TRUE(world.turn_until([&] { return client.has("ok"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 502 "));
		EXPECT_NE(std::string::npos, client.received.find("gave-way"));
		EXPECT_TRUE(
			world.turn_until([&] { return first_->has_ended(); }));
	} else {
		world.turn(50);
		EXPECT_EQ("", client.received);
		answer(first_.get(), "first");
		ASSERT_TRUE(world.turn_until(
			[&] { return client.has("Id: second"); }));
		EXPECT_EQ(0u, client.received.find("HTTP/1.1 200 "));
	}
	EXPECT_EQ(test.gives_way, counted(QL_COUNT_GAVE_WAY))
		<< client.received;
}

INSTANTIATE_TEST_SUITE_P(
	Cases, Pipelined,
	testing::Values(
		Case{"TooLate", "/get/1", 50, "30000", false, true},
		Case{"InTime", "/get/1", 10, "30000", false, false},
		Case{"NotToBeRepeated", "/order/1", 50, "30000", false, false},
		Case{"NobodySaysHowLong", "/get/1", 50, "", false, false},
		Case{"NodeStops", "/get/1", 50, "30000", true, false}),
	[](const auto &test) { return test.param.name; });

} // namespace
