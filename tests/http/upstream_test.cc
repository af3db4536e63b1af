#include "http/upstream.h"
#include "loop_fixture.h"

#include <memory>

namespace
{

/* A server of which the test plays every byte. */
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
				const char *got =
					ql_headers_get(&reader->headers, "id");
				return !got || self->id == got;
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

	bool wait_for_results(int n)
	{
		return event_loop.run_until(
			[&] { return completes + failures == n; });
	}
};

TEST_F(Upstream, KeepsItsConnection)
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
	EXPECT_EQ(1u, upstream->opened);
	EXPECT_EQ(2, completes);
}

TEST_F(Upstream, DropsTheAnswerOfAnotherRequest)
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

/* What a server says behind an idle connection belongs to nobody. */
TEST_F(Upstream, ClosesWhenAnAnswerComesUnasked)
{
	send("a");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: a"); }));
	server->send("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 0\r\n\r\n");
	ASSERT_TRUE(wait_for_results(1));
	server->send("HTTP/1.1 200 OK\r\nid: a\r\nContent-Length: 0\r\n\r\n");
	EXPECT_TRUE(event_loop.run_until(
		[&] { return server->is_closed_by_peer(); }));
	EXPECT_EQ(1u, upstream->unexpected);
}

struct Answer {
	const char *name;
	const char *bytes;
	bool reset;
	bool whole;
	const char *body;
	ql_upstream_failure_t failure;
	bool kept;
	bool at_once = false;
};

class UpstreamAnswer : public Upstream,
		       public testing::WithParamInterface<Answer>
{
};

TEST_P(UpstreamAnswer, IsWholeOrNot)
{
	const Answer &answer = GetParam();
	linger nothing = {1, 0};

	send("a");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until([&] { return server->has("id: a"); }));
	server->send(answer.bytes);
	if (answer.reset) {
		/* What was sent is read before the reset comes, or with it. */
		if (!answer.at_once)
			event_loop.run_iterations(20);
		setsockopt(server->fd, SOL_SOCKET, SO_LINGER, &nothing,
			   sizeof(nothing));
		close(server->fd);
		server->fd = -1;
	} else if (!answer.kept) {
		shutdown(server->fd, SHUT_WR);
	}
	ASSERT_TRUE(wait_for_results(1));
	EXPECT_EQ(answer.whole ? 1 : 0, completes);
	if (answer.whole)
		EXPECT_EQ(answer.body, body);
	else
		EXPECT_EQ(answer.failure, failure);
	EXPECT_EQ(answer.kept ? 1u : 0u, upstream->idle.length);
}

INSTANTIATE_TEST_SUITE_P(
	Answers, UpstreamAnswer,
	testing::Values(
		Answer{"WithLength",
		       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
		       true, "ok", QL_UPSTREAM_LOST, true},
		Answer{"Chunked",
		       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "2\r\nok\r\n0\r\n\r\n",
		       false, true, "ok", QL_UPSTREAM_LOST, true},
		Answer{"EndsWithItsConnection", "HTTP/1.1 200 OK\r\n\r\nok",
		       false, true, "ok", QL_UPSTREAM_LOST, false},
		Answer{"EndsWithAReset", "HTTP/1.1 200 OK\r\n\r\nok", true,
		       false, "", QL_UPSTREAM_LOST, false},
		Answer{"EndsWithAResetAtOnce", "HTTP/1.1 200 OK\r\n\r\nok",
		       true, false, "", QL_UPSTREAM_LOST, false, true},
		Answer{"CutShort",
		       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false,
		       false, "", QL_UPSTREAM_LOST, false},
		Answer{"CutInAChunk",
		       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "9\r\nok",
		       false, false, "", QL_UPSTREAM_LOST, false},
		Answer{"NoAnswer", "", false, false, "", QL_UPSTREAM_LOST,
		       false},
		Answer{"NoHttp", "220 smtp ready\r\n", false, false, "",
		       QL_UPSTREAM_MALFORMED, false},
		Answer{"ExtraBytesBehind",
		       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 "
		       "200 OK\r\nContent-Length: 2\r\n\r\nno",
		       false, true, "ok", QL_UPSTREAM_LOST, false},
		Answer{"SaysThatItCloses",
		       "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		       "Content-Length: 2\r\n\r\nok",
		       false, true, "ok", QL_UPSTREAM_LOST, false},
		Answer{"KeepsIdleForNoTime",
		       "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
		       "Content-Length: 2\r\n\r\nok",
		       false, true, "ok", QL_UPSTREAM_LOST, false},
		Answer{"EmptyKeepAlive",
		       "HTTP/1.1 200 OK\r\nKeep-Alive:\r\n"
		       "Content-Length: 2\r\n\r\nok",
		       false, true, "ok", QL_UPSTREAM_LOST, true},
		Answer{"InterimFirst",
		       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
		       "Content-Length: 2\r\n\r\nok",
		       false, true, "ok", QL_UPSTREAM_LOST, true},
		Answer{"TwoLengths",
		       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		       "Content-Length: 3\r\n\r\nok",
		       false, false, "", QL_UPSTREAM_MALFORMED, false}),
	[](const auto &answer) { return answer.param.name; });

} // namespace
