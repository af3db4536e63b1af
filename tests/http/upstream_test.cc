#include "http/upstream.h"
#include "loop_fixture.h"

#include <memory>

namespace
{

/* A pool of connections to a server whose bytes the test sends. */
class Upstream : public testing::Test
{
      protected:
	LoopFixture event_loop;
	int listener_fd;
	ql_upstream_t *upstream;
	std::string id, body;
	int heads = 0, completes = 0, failures = 0;
	ql_upstream_failure_t failure = QL_UPSTREAM_NOT_SENT;

	void SetUp() override
	{
		ql_upstream_opts_t opts = {};
		socklen_t length = sizeof(opts.address);

		listener_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		opts.address = loopback(0);
		ASSERT_EQ(0, bind(listener_fd, (sockaddr *)&opts.address,
				  sizeof(opts.address)));
		ASSERT_EQ(0, listen(listener_fd, 16));
		getsockname(listener_fd, (sockaddr *)&opts.address, &length);
		opts.connect_timeout_ms = 60000;
		opts.idle_ms = 60000;
		upstream = ql_upstream_new(&event_loop.loop, &opts);
	}

	void TearDown() override
	{
		ql_upstream_free(upstream);
		event_loop.run_iterations(20);
		close(listener_fd);
	}

	ql_upstream_request_t *send(const std::string &request_id)
	{
		static const ql_upstream_ops_t ops = {
			[](void *data, const ql_http_reader_t *reader) {
				auto *self = static_cast<Upstream *>(data);
				const char *response_id =
					ql_headers_get(&reader->headers, "id");
				return !response_id || self->id == response_id;
			},
			[](void *data, ql_http_reader_t *) {
				static_cast<Upstream *>(data)->heads++;
			},
			[](void *data, const char *bytes, size_t length) {
				static_cast<Upstream *>(data)->body.append(
					bytes, length);
			},
			[](void *data) {
				static_cast<Upstream *>(data)->completes++;
			},
			[](void *data, ql_upstream_failure_t why) {
				auto *self = static_cast<Upstream *>(data);
				self->failures++;
				self->failure = why;
			}};
		std::string text =
			"GET / HTTP/1.1\r\nid: " + request_id + "\r\n\r\n";
		GByteArray *bytes = g_byte_array_new();
		ql_upstream_call_t call = {bytes, false, &ops, this};
		ql_upstream_request_t *request;

		id = request_id;
		body.clear();
		g_byte_array_append(bytes, (const guint8 *)text.data(),
				    (guint)text.size());
		request = ql_upstream_send(upstream, &call);
		g_byte_array_free(bytes, TRUE);
		return request;
	}

	std::unique_ptr<RawSocket> accept_connection()
	{
		int fd = -1;

		EXPECT_TRUE(event_loop.run_until([&] {
			fd = accept(listener_fd, nullptr, nullptr);
			return fd >= 0;
		}));
		return std::make_unique<RawSocket>(fd);
	}

	/* Waits until @n requests have completed or failed. */
	bool wait_for_results(int n)
	{
		return event_loop.run_until(
			[&] { return completes + failures == n; });
	}
};

TEST_F(Upstream, ReusesItsConnection)
{
	send("a");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: a"); }));
	server->send("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 2\r\n\r\nok");
	ASSERT_TRUE(wait_for_results(1));
	send("b");
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: b"); }));
	server->send("HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 0\r\n\r\n");
	ASSERT_TRUE(wait_for_results(2));
	EXPECT_EQ(1u, upstream->connections_opened);
	EXPECT_EQ(2, completes);
}

TEST_F(Upstream, DropsResponsesToOtherRequests)
{
	send("b");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: b"); }));
	server->send(
		"HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 3\r\n\r\nold"
		"HTTP/1.1 200 OK\r\nid: b\r\nContent-Length: 3\r\n\r\nnew");
	ASSERT_TRUE(wait_for_results(1));
	EXPECT_EQ("new", body);
	EXPECT_EQ(1, heads);
}

/* A response on an idle connection belongs to no request. */
TEST_F(Upstream, ClosesOnAnUnexpectedResponse)
{
	send("a");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: a"); }));
	server->send("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 0\r\n\r\n");
	ASSERT_TRUE(wait_for_results(1));
	server->send("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 0\r\n\r\n");
	EXPECT_TRUE(event_loop.run_until(
		[&] { return server->is_closed_by_peer(); }));
	EXPECT_EQ(1u, upstream->unexpected_responses);
}

struct ResponseCase {
	const char *name;
	const char *bytes;
	bool reset;
	bool is_complete;
	const char *body;
	ql_upstream_failure_t failure;
	bool is_kept_alive;
	bool reset_at_once = false;
};

class UpstreamResponse : public Upstream,
			 public testing::WithParamInterface<ResponseCase>
{
};

TEST_P(UpstreamResponse, CompletesOrFails)
{
	const ResponseCase &test = GetParam();
	linger no_linger = {1, 0};

	send("a");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: a"); }));
	server->send(test.bytes);
	if (test.reset) {
		/* Otherwise the bytes and the reset are read together. */
		if (!test.reset_at_once)
			event_loop.run_iterations(20);
		setsockopt(server->fd, SOL_SOCKET, SO_LINGER, &no_linger,
			   sizeof(no_linger));
		close(server->fd);
		server->fd = -1;
	} else if (!test.is_kept_alive) {
		shutdown(server->fd, SHUT_WR);
	}
	ASSERT_TRUE(wait_for_results(1));
	EXPECT_EQ(test.is_complete ? 1 : 0, completes);
	if (test.is_complete)
		EXPECT_EQ(test.body, body);
	else
		EXPECT_EQ(test.failure, failure);
	EXPECT_EQ(test.is_kept_alive ? 1u : 0u, upstream->idle.length);
}

INSTANTIATE_TEST_SUITE_P(
	Responses, UpstreamResponse,
	testing::Values(
		ResponseCase{"WithLength",
			     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			     false, true, "ok", QL_UPSTREAM_LOST, true},
		ResponseCase{
			"Chunked",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			"2\r\nok\r\n0\r\n\r\n",
			false, true, "ok", QL_UPSTREAM_LOST, true},
		ResponseCase{"EndsWithTheConnection",
			     "HTTP/1.1 200 OK\r\n\r\nok", false, true, "ok",
			     QL_UPSTREAM_LOST, false},
		ResponseCase{"Reset", "HTTP/1.1 200 OK\r\n\r\nok", true, false,
			     "", QL_UPSTREAM_LOST, false},
		ResponseCase{"ResetAtOnce", "HTTP/1.1 200 OK\r\n\r\nok", true,
			     false, "", QL_UPSTREAM_LOST, false, true},
		ResponseCase{"Truncated",
			     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			     false, false, "", QL_UPSTREAM_LOST, false},
		ResponseCase{
			"TruncatedChunk",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			"9\r\nok",
			false, false, "", QL_UPSTREAM_LOST, false},
		ResponseCase{"NoResponse", "", false, false, "",
			     QL_UPSTREAM_LOST, false},
		ResponseCase{"NotHttp", "220 smtp ready\r\n", false, false, "",
			     QL_UPSTREAM_MALFORMED, false},
		ResponseCase{
			"BytesBehindTheResponse",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 "
			"200 OK\r\nContent-Length: 2\r\n\r\nno",
			false, true, "ok", QL_UPSTREAM_LOST, false},
		ResponseCase{"ConnectionClose",
			     "HTTP/1.1 200 OK\r\nConnection: close\r\n"
			     "Content-Length: 2\r\n\r\nok",
			     false, true, "ok", QL_UPSTREAM_LOST, false},
		ResponseCase{"KeepAliveTimeoutZero",
			     "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
			     "Content-Length: 2\r\n\r\nok",
			     false, true, "ok", QL_UPSTREAM_LOST, false},
		ResponseCase{"EmptyKeepAlive",
			     "HTTP/1.1 200 OK\r\nKeep-Alive:\r\n"
			     "Content-Length: 2\r\n\r\nok",
			     false, true, "ok", QL_UPSTREAM_LOST, true},
		ResponseCase{"InterimResponse",
			     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
			     "Content-Length: 2\r\n\r\nok",
			     false, true, "ok", QL_UPSTREAM_LOST, true},
		ResponseCase{"TwoLengths",
			     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
			     "Content-Length: 3\r\n\r\nok",
			     false, false, "", QL_UPSTREAM_MALFORMED, false},
		ResponseCase{"SpaceBeforeColon",
			     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked"
			     "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			     false, false, "", QL_UPSTREAM_MALFORMED, false},
		ResponseCase{"FoldedLine",
			     "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n"
			     "Content-Length: 2\r\n\r\nok",
			     false, false, "", QL_UPSTREAM_MALFORMED, false},
		ResponseCase{"OtherCoding",
			     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
			     "\r\nok",
			     false, false, "", QL_UPSTREAM_MALFORMED, false},
		ResponseCase{"MalformedInterimResponse",
			     "HTTP/1.1 100 Continue\r\nX : 1\r\n\r\n"
			     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
			     false, false, "", QL_UPSTREAM_MALFORMED, false},
		ResponseCase{"ChunkedWithTrailers",
			     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			     "\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n",
			     false, true, "ok", QL_UPSTREAM_LOST, true}),
	[](const auto &test) { return test.param.name; });

} // namespace
