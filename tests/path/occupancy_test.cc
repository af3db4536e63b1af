#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"far\":{\"path\":\"/far/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000}}";

struct OccupancyCase {
	const char *description;
	/* Headers of the response of the gate. */
	const char *headers;
	double occupancy;
	bool is_known;
	uint64_t n_bad;
};

/* The occupancy of a gate, as its caller gets it with a response. */
class Occupancy : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		add_far_endpoint();
	}

	const ql_endpoint_t *endpoint()
	{
		const ql_balancer_t *balancer =
			&ql_front_find_service(&front, "b")->balancer;

		return (const ql_endpoint_t *)ql_table_get(
			&balancer->endpoints,
			g_array_index(balancer->all, ql_handle_t, 0));
	}

	/* Returns what the client gets. */
	std::string answer(const std::string &headers)
	{
		RawSocket client = connect_client();

		client.send("GET /far/ HTTP/1.1\r\nHost: h\r\nId: x\r\n\r\n");
		auto peer = accept_connection();
		EXPECT_TRUE(event_loop.run_until(
			[&] { return peer->has("\r\n\r\n"); }));
		peer->send("HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\n"
			   "Connection: close\r\n"
			   "Quetzalloft-Outcome: answered\r\n"
			   "Quetzalloft-Reason: none\r\n" +
			   headers + "Content-Length: 4\r\n\r\nbody");
		EXPECT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\n"); }));
		return client.received;
	}
};

/* What is malformed costs the news, not the answer, and is counted. */
TEST_F(Occupancy, IsTakenIfItIsWellFormed)
{
	const OccupancyCase cases[] = {
		{"none", "", 0, false, 0},
		{"negative", "Quetzalloft-Occupancy: -1\r\n", 0, false, 1},
		{"too much", "Quetzalloft-Occupancy: 100001\r\n", 0, false, 1},
		{"a fraction", "Quetzalloft-Occupancy: 0.5\r\n", 0, false, 1},
		{"twice",
		 "Quetzalloft-Occupancy: 5\r\nQuetzalloft-Occupancy: 5\r\n", 0,
		 false, 1},
		{"half", "Quetzalloft-Occupancy: 500\r\n", 0.5, true, 0},
		{"a queue", "quetzalloft-occupancy: 1250\r\n", 1.25, true, 0},
	};
	uint64_t n_bad = 0;

	for (const OccupancyCase &test : cases) {
		SCOPED_TRACE(test.description);
		std::string received = answer(test.headers);

		n_bad += test.n_bad;
		EXPECT_NE(std::string::npos, received.find(" 200 "))
			<< received;
		EXPECT_EQ(std::string::npos, received.find("ccupancy"))
			<< received;
		EXPECT_EQ(test.occupancy, endpoint()->occupancy);
		EXPECT_EQ(test.is_known, endpoint()->occupancy_us > 0);
		EXPECT_EQ(n_bad, counter_value(QL_COUNT_BAD_METADATA));
	}
}

} // namespace
