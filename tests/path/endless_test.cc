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

/* More than any answer that is held, far less than the time allows. */
constexpr size_t kEndlessBytes = 32 << 20;
constexpr size_t kPieceBytes = 16 << 10;

class Endless : public PathFixture
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

	/* Sends the same again and again; returns the bytes that were taken. */
	size_t pour(RawSocket *server, const std::string &unit,
		    const std::function<bool()> &over)
	{
		size_t sent = 0, at = 0;
		std::string piece;

		while (piece.size() < kPieceBytes)
			piece += unit;

		EXPECT_TRUE(event_loop.run_until([&] {
			ssize_t n;

			while ((n = ::send(server->fd, piece.data() + at,
					   piece.size() - at, MSG_NOSIGNAL)) >
			       0) {
				at = (at + (size_t)n) % piece.size();
				sent += (size_t)n;
				if (sent > kEndlessBytes)
					return true;
				event_loop.run_iterations(1);
			}
			return over();
		}));
		return sent;
	}
};

struct Flood {
	const char *name;
	const char *first;
	const char *piece;
};

class EndlessAnswer : public Endless, public testing::WithParamInterface<Flood>
{
};

/*
 * Guards against: bytes that are no answer come without end, in a head or a
 * body, and hold a slot of the endpoint and memory of the node until the time
 * of the request is over.
 */
TEST_P(EndlessAnswer, EndsTheRequestAndFreesTheSlot)
{
	const Flood &flood = GetParam();
	RawSocket client = connect_client();
	size_t sent;

	client.send(request("/order/1"));
	auto server = accept_connection();
	ASSERT_TRUE(
		event_loop.run_until([&] { return server->has("\r\n\r\n"); }));
	server->send(flood.first);
	sent = pour(server.get(), flood.piece,
		    [&] { return server->is_closed_by_peer(); });
	EXPECT_LE(sent, kEndlessBytes / 2);
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 502"));
	EXPECT_EQ(0u, gate.gate.in_progress);
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
}

INSTANTIATE_TEST_SUITE_P(
	Floods, EndlessAnswer,
	testing::Values(
		Flood{"NoHttp", "", "no answer at all "},
		Flood{"EndlessHeader",
		      "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaaaaaa"},
		Flood{"EndlessHeaders", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		Flood{"EndlessReason", "HTTP/1.1 200 ", "OK OK OK OK OK "},
		Flood{"EndlessInterimAnswers", "",
		      "HTTP/1.1 100 Continue\r\n\r\n"},
		Flood{"EndlessAnswersOfAnother", "",
		      "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n"
		      "Content-Length: 2\r\n\r\nok"},
		Flood{"EndlessBodyOfAnother",
		      "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\n"
		      "Content-Length: 99999999999\r\n\r\n",
		      "aaaaaaaaaaaaaaaa"},
		Flood{"EndlessChunkSize",
		      "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n",
		      "0000000000000000"},
		Flood{"EndlessChunkExtension",
		      "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n2;",
		      "abcdefghijklmnop"},
		Flood{"EndlessTrailers",
		      "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		      "T: aaaaaaaaaaaa\r\n"}),
	[](const auto &test) { return test.param.name; });

/* A body that does not end is passed on, and breaks off with the request. */
TEST_F(Endless, BodyEndsWithTheTimeOfTheRequest)
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
 * Guards against: a request that must not be repeated runs on behind its
 * client, and an endpoint that never ends its answer, or never begins it, keeps
 * the slot for good.
 */
TEST_F(Endless, AbandonedRequestGivesItsSlotBack)
{
	for (const char *piece : {"aaaaaaaaaaaaaaaa", ""}) {
		SCOPED_TRACE(piece);
		{
			RawSocket client = connect_client();

			client.send(request("/soon/1"));
			auto server = accept_connection();
			ASSERT_TRUE(event_loop.run_until(
				[&] { return server->has("\r\n\r\n"); }));
			server->send(*piece ? "HTTP/1.1 200 OK\r\nId: x\r\n"
					      "Seal: s\r\n\r\n"
					    : "");
			close(client.fd);
			client.fd = -1;
			EXPECT_TRUE(event_loop.run_until([&] {
				return !g_hash_table_size(front.calls);
			}));
			EXPECT_EQ(1u, gate.gate.in_progress);
			EXPECT_TRUE(event_loop.run_until([&] {
				::send(server->fd, piece, strlen(piece),
				       MSG_NOSIGNAL);
				return !gate.gate.in_progress;
			}));
		}
	}
}

} // namespace
