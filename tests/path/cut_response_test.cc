#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"near\":{\"path\":\"/near/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000},"
	"\"far\":{\"path\":\"/far/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000}}";

/*
 * A response of an endpoint, or of the gate of another node, and how many of
 * its bytes the peer must have sent for the response to be whole.
 */
struct CutCase {
	std::string name;
	const char *path;
	std::string response;
	size_t whole_bytes;
	/* The connection is reset at the cut, not closed. */
	bool is_reset;
};

/*
 * Guards against a peer that stops in the middle of the head or the body of its
 * response and closes: the client must not get a success that looks whole.
 */
class CutResponse : public PathFixture,
		    public testing::WithParamInterface<CutCase>
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
		add_far_endpoint();
	}

	/* Returns the response to a request whose answer ends at a cut. */
	std::string response_to_cut(size_t cut)
	{
		const CutCase &test = GetParam();
		RawSocket client = connect_client();
		linger reset = {1, 0};

		client.send(std::string("GET ") + test.path +
			    " HTTP/1.1\r\nHost: h\r\nId: x\r\n\r\n");
		auto server = accept_connection();
		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		server->send(test.response.substr(0, cut));
		event_loop.run_iterations(5);
		if (test.is_reset)
			setsockopt(server->fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(server->fd);
		server->fd = -1;
		EXPECT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\n"); }));
		return client.received;
	}
};

TEST_P(CutResponse, IsNoSuccess)
{
	const CutCase &test = GetParam();

	for (size_t cut = 0; cut < test.whole_bytes; cut++) {
		SCOPED_TRACE(cut);
		EXPECT_EQ(0u, response_to_cut(cut).find("HTTP/1.1 502"));
	}
	EXPECT_EQ(0u, gate.gate.in_progress);
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
}

/* Responses that are whole at their end. */
class WholeResponse : public CutResponse
{
};

TEST_P(WholeResponse, IsDelivered)
{
	const CutCase &test = GetParam();

	EXPECT_EQ(0u,
		  response_to_cut(test.response.size()).find("HTTP/1.1 200"));
}

std::vector<CutCase> cut_cases()
{
	const std::string head = "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
				 "Quetzalloft-Outcome: answered\r\n"
				 "Quetzalloft-Reason: none\r\n";
	const struct {
		const char *name;
		std::string response;
		/* Without a length the response is whole at its end. */
		bool has_length;
	} framings[] = {
		{"Length", head + "Content-Length: 10\r\n\r\n0123456789", true},
		{"NoBody", head + "Content-Length: 0\r\n\r\n", true},
		{"Chunked",
		 head + "Transfer-Encoding: chunked\r\n\r\n"
			"5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
		 true},
		{"NoLength", head + "\r\n0123456789", false},
		{"Interim",
		 "HTTP/1.1 100 Continue\r\n\r\n" + head +
			 "Content-Length: 2\r\n\r\nok",
		 true},
	};
	std::vector<CutCase> cases;

	for (auto &framing : framings)
		for (bool is_reset : {false, true})
			for (const char *path : {"/near/1", "/far/1"}) {
				size_t size = framing.response.size();
				size_t end_of_head =
					framing.response.find("\r\n\r\n", 40) +
					4;

				cases.push_back(
					{std::string(framing.name) +
						 (is_reset ? "Reset"
							   : "Closed") +
						 (path[1] == 'n' ? "Near"
								 : "Far"),
					 path, framing.response,
					 framing.has_length ? size
					 : is_reset	    ? size + 1
							    : end_of_head,
					 is_reset});
			}
	return cases;
}

/* A response without a length is not whole if its connection is reset. */
std::vector<CutCase> whole_cases()
{
	std::vector<CutCase> cases;

	for (const CutCase &test : cut_cases())
		if (test.whole_bytes <= test.response.size())
			cases.push_back(test);
	return cases;
}

INSTANTIATE_TEST_SUITE_P(Framings, CutResponse, testing::ValuesIn(cut_cases()),
			 [](const auto &test) { return test.param.name; });
INSTANTIATE_TEST_SUITE_P(Framings, WholeResponse,
			 testing::ValuesIn(whole_cases()),
			 [](const auto &test) { return test.param.name; });

} // namespace
