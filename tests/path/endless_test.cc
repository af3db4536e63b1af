#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"get\":{\"path\":\"/get/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000},"
	"\"order\":{\"path\":\"/order/\",\"service\":\"a\",\"class\":\"high\","
	"\"idempotent\":false,\"deadline_ms\":60000},"
	"\"soon\":{\"path\":\"/soon/\",\"service\":\"a\",\"class\":\"high\","
	"\"idempotent\":false,\"deadline_ms\":300}}";

/*
 * More than is buffered of any response, and far less than can be sent before
 * the deadline of a request.
 */
constexpr size_t kSentMaxBytes = 32 << 20;
constexpr size_t kBlockBytes = 16 << 10;

class EndlessResponse : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
	}

	static std::string request(const std::string &path)
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: x\r\n\r\n";
	}

	/* Sends @unit repeatedly until @is_done; returns the bytes sent. */
	size_t send_repeatedly(RawSocket *server, const std::string &unit,
			       const std::function<bool()> &is_done)
	{
		size_t sent = 0, offset = 0;
		std::string block;

		while (block.size() < kBlockBytes)
			block += unit;

		EXPECT_TRUE(event_loop.run_until([&] {
			ssize_t n;

			while ((n = ::send(server->fd, block.data() + offset,
					   block.size() - offset,
					   MSG_NOSIGNAL)) > 0) {
				offset = (offset + (size_t)n) % block.size();
				sent += (size_t)n;
				if (sent > kSentMaxBytes)
					return true;
				event_loop.run_iterations(1);
			}
			return is_done();
		}));
		return sent;
	}
};

struct InvalidResponse {
	const char *name;
	/* Start of the response, and the bytes sent repeatedly after it. */
	const char *start;
	const char *repeated;
};

class EndlessInvalidResponse
    : public EndlessResponse,
      public testing::WithParamInterface<InvalidResponse>
{
};

/*
 * Guards against an endpoint that sends invalid bytes without end, in the
 * headers or in the body: they would use a slot of the endpoint and memory of
 * the node until the deadline of the request.
 */
TEST_P(EndlessInvalidResponse, FailsTheRequestAndFreesTheSlot)
{
	const InvalidResponse &response = GetParam();
	RawSocket client = connect_client();
	size_t sent;

	client.send(request("/order/1"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send(response.start);
	sent = send_repeatedly(server.get(), response.repeated,
			       [&] { return server->is_closed_by_peer(); });
	EXPECT_LE(sent, kSentMaxBytes / 2);
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 502"));
	EXPECT_EQ(0u, gate.gate.in_progress);
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
}

INSTANTIATE_TEST_SUITE_P(
	Responses, EndlessInvalidResponse,
	testing::Values(
		InvalidResponse{"NotHttp", "", "no answer at all "},
		InvalidResponse{"OneHeader",
				"HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaa"},
		InvalidResponse{"Headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		InvalidResponse{"ReasonPhrase", "HTTP/1.1 200 ",
				"OK OK OK OK OK "},
		InvalidResponse{"InterimResponses", "",
				"HTTP/1.1 100 Continue\r\n\r\n"},
		InvalidResponse{"ResponsesToAnotherRequest", "",
				"HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n"
				"Content-Length: 2\r\n\r\nok"},
		InvalidResponse{"BodyForAnotherRequest",
				"HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n"
				"Content-Length: 99999999999\r\n\r\n",
				"aaaaaaaaaaaaaaaa"},
		InvalidResponse{"ChunkSize",
				"HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
				"Transfer-Encoding: chunked\r\n\r\n",
				"0000000000000000"},
		InvalidResponse{"ChunkExtension",
				"HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
				"Transfer-Encoding: chunked\r\n\r\n2;",
				"abcdefghijklmnop"},
		InvalidResponse{
			"Trailers",
			"HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
			"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
			"T: aaaaaaaaaaaa\r\n"}),
	[](const auto &test) { return test.param.name; });

/*
 * A body without an end fails at the deadline of the request, also while the
 * endpoint continues to send.
 */
TEST_F(EndlessResponse, BodyFailsAtTheDeadline)
{
	RawSocket client = connect_client();

	client.send(request("/soon/1"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send("HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n\r\n");
	EXPECT_TRUE(event_loop.run_until([&] {
		::send(server->fd, "aaaaaaaaaaaaaaaa", 16, MSG_NOSIGNAL);
		return client.has("\r\n\r\n");
	}));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 504"));
	EXPECT_TRUE(event_loop.run_until([&] {
		::send(server->fd, "aaaaaaaaaaaaaaaa", 16, MSG_NOSIGNAL);
		return !gate.gate.in_progress;
	}));
}

/*
 * Guards against a slot that is never freed. A request that is not idempotent
 * continues after its client has disconnected; the endpoint may never complete
 * its response, or never start it.
 */
TEST_F(EndlessResponse, AbandonedRequestFreesItsSlot)
{
	for (const char *fragment : {"aaaaaaaaaaaaaaaa", ""}) {
		SCOPED_TRACE(fragment);
		{
			RawSocket client = connect_client();

			client.send(request("/soon/1"));
			auto server = accept_connection();
			ASSERT_TRUE(event_loop.run_until(
				[&] { return server->has("\r\n\r\n"); }));
			server->send(*fragment ? "HTTP/1.1 200 OK\r\nId: x\r\n"
						 "Seal: s\r\n\r\n"
					       : "");
			close(client.fd);
			client.fd = -1;
			EXPECT_TRUE(event_loop.run_until([&] {
				return !g_hash_table_size(front.calls);
			}));
			EXPECT_EQ(1u, gate.gate.in_progress);
			EXPECT_TRUE(event_loop.run_until([&] {
				::send(server->fd, fragment, strlen(fragment),
				       MSG_NOSIGNAL);
				return !gate.gate.in_progress;
			}));
		}
	}
}

} // namespace
