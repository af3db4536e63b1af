#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"get\":{\"path\":\"/get/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000,\"attempts\":1},"
	"\"soon\":{\"path\":\"/soon/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":300,\"attempts\":1}}";

constexpr size_t kStatedBytes = 400000;

/* How the download ends before it is whole. */
enum Way {
	ENDPOINT_CLOSES,
	ENDPOINT_RESETS,
	DEADLINE_PASSES,
	ALL_FAIL,
	CLIENT_CLOSES,
	CLIENT_RESETS
};

struct DownloadCase {
	const char *name;
	/* Bytes of the body that the endpoint sends. */
	size_t sent_bytes;
	Way way;
};

class DownloadFixture : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
	}

	static std::string request(const char *path, const char *id)
	{
		return std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\n" +
		       "Time-Ms: 60000\r\nId: " + id + "\r\n\r\n";
	}

	static std::string response(const char *id, const std::string &body,
				    size_t stated_bytes)
	{
		return std::string("HTTP/1.1 200 OK\r\nSeal: s\r\nId: ") + id +
		       "\r\nContent-Length: " + std::to_string(stated_bytes) +
		       "\r\n\r\n" + body;
	}

	std::unique_ptr<RawSocket> accept_request()
	{
		auto server = accept_connection();

		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		return server;
	}
};

/*
 * A client pipelines a slow request, a download and a third request. The
 * download ends before it is whole, while it waits for the slow request.
 *
 * Guards against calls to the request of the download after that: the node
 * crashed when the third request came (use after free).
 */
class BrokenDownload : public DownloadFixture,
		       public testing::WithParamInterface<DownloadCase>
{
      protected:
	static void close_socket(RawSocket *socket, bool is_reset)
	{
		linger reset = {1, 0};

		if (is_reset)
			setsockopt(socket->fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(socket->fd);
		socket->fd = -1;
	}

	/* Ends the download; returns once the node has noticed. */
	void end_download(RawSocket *client, RawSocket *server)
	{
		guint n_before = g_hash_table_size(front.calls);
		Way way = GetParam().way;

		if (way == ENDPOINT_CLOSES || way == ENDPOINT_RESETS)
			close_socket(server, way == ENDPOINT_RESETS);
		else if (way == CLIENT_CLOSES || way == CLIENT_RESETS)
			close_socket(client, way == CLIENT_RESETS);
		else if (way == ALL_FAIL)
			ql_front_fail_all(&front);
		EXPECT_TRUE(event_loop.run_until([&] {
			return g_hash_table_size(front.calls) < n_before;
		}));
	}
};

TEST_P(BrokenDownload, IsNoMoreUsedBehindASlowRequest)
{
	const DownloadCase &test = GetParam();
	bool is_soon = test.way == DEADLINE_PASSES;
	RawSocket client = connect_client();

	client.send(request("/get/slow", "x1"));
	auto slow = accept_request();
	client.send(request(is_soon ? "/soon/d" : "/get/d", "x2"));
	auto download = accept_request();
	for (size_t sent = 0; sent < test.sent_bytes; sent += 10000) {
		size_t n = std::min((size_t)10000, test.sent_bytes - sent);

		download->send(sent ? std::string(n, 'd')
				    : response("x2", std::string(n, 'd'),
					       kStatedBytes));
		event_loop.run_iterations(1);
	}
	end_download(&client, download.get());
	if (client.fd < 0) {
		event_loop.run_iterations(20);
		EXPECT_EQ(0u, g_hash_table_size(front.calls));
		return;
	}
	client.send(request("/get/third", "x3"));
	if (test.way == ALL_FAIL) {
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("HTTP/1.1 502"); }));
		return;
	}
	auto third = accept_request();
	third->send(response("x3", "3", 1));
	slow->send(response("x1", "1", 1));
	/* Nothing of the download was sent, so the client is told of its end.
	 */
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("Id: x3\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 200"));
	EXPECT_NE(std::string::npos,
		  client.received.find(is_soon ? "HTTP/1.1 504"
					       : "HTTP/1.1 502"));
	EXPECT_EQ(std::string::npos, client.received.find("dd"));
}

std::vector<DownloadCase> download_cases()
{
	constexpr size_t buffered = 128 << 10;
	std::vector<DownloadCase> cases;
	const struct {
		const char *name;
		Way way;
	} ways[] = {
		{"EndpointCloses", ENDPOINT_CLOSES},
		{"EndpointResets", ENDPOINT_RESETS},
		{"DeadlinePasses", DEADLINE_PASSES},
		{"AllFail", ALL_FAIL},
		{"ClientCloses", CLIENT_CLOSES},
		{"ClientResets", CLIENT_RESETS},
	};

	for (auto &way : ways)
		for (size_t bytes :
		     {(size_t)1000, buffered, buffered + 1, (size_t)250000})
			cases.push_back({way.name, bytes, way.way});
	return cases;
}

INSTANTIATE_TEST_SUITE_P(Ways, BrokenDownload,
			 testing::ValuesIn(download_cases()),
			 [](const auto &test) {
				 return std::string(test.param.name) +
					std::to_string(test.param.sent_bytes);
			 });

/* Requests behind a download on its connection. */
constexpr unsigned int kBehind = 8;

using StoppedDownload = DownloadFixture;

/*
 * Guards against a walk over all requests that goes on with those that it has
 * freed: when the first one of a connection is aborted, the ones behind it are
 * cancelled.
 */
TEST_F(StoppedDownload, FailsWithTheRequestsBehindIt)
{
	RawSocket client = connect_client();

	client.send(request("/get/d", "x1"));
	auto download = accept_request();
	for (unsigned int i = 0; i < kBehind; i++) {
		client.send(request("/get/behind", "x2"));
		event_loop.run_iterations(1);
	}
	ASSERT_TRUE(event_loop.run_until(
		[&] { return g_hash_table_size(front.calls) == kBehind + 1; }));
	download->send(response("x1", std::string(200000, 'd'), kStatedBytes));
	ASSERT_TRUE(event_loop.run_until([&] { return client.has("dd"); }));
	ql_front_fail_all(&front);
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
	ASSERT_TRUE(event_loop.run_until(
		[&] { return client.is_closed_by_peer(); }));
}

} // namespace
