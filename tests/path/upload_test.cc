#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"upload\":{\"path\":\"/upload/\",\"service\":\"a\",\"class\":"
	"\"low\",\"idempotent\":false,\"deadline_ms\":60000,\"attempts\":2}}";
/* Larger than the windows of the connections. */
const size_t BODY_BYTES = 360000;

class Upload : public PathFixture
{
      protected:
	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
	}

	static std::string head(const std::string &framing)
	{
		return "POST /upload/1 HTTP/1.1\r\nHost: h\r\nId: x\r\n" +
		       framing + "\r\n";
	}

	static std::string body()
	{
		std::string out(BODY_BYTES, '\0');

		for (size_t i = 0; i < out.size(); i++)
			out[i] = (char)('a' + i % 23);
		return out;
	}

	static std::string chunked(const std::string &bytes, size_t chunk)
	{
		std::string out;
		char size[32];

		for (size_t at = 0; at < bytes.size(); at += chunk) {
			std::string part = bytes.substr(at, chunk);

			g_snprintf(size, sizeof(size), "%zx\r\n", part.size());
			out += size + part + "\r\n";
		}
		return out + "0\r\n\r\n";
	}

	/* Sends bytes in pieces, with turns of the loop between them. */
	void send_slowly(RawSocket &client, const std::string &bytes,
			 size_t piece)
	{
		for (size_t at = 0; at < bytes.size(); at += piece) {
			client.send(bytes.substr(at, piece));
			event_loop.run_iterations(2);
		}
	}

	bool endpoint_was_called()
	{
		int fd = accept(endpoint_listener, nullptr, nullptr);

		if (fd >= 0)
			close(fd);
		return fd >= 0;
	}
};

/* An upload reaches the endpoint whole, also from a slow client. */
TEST_F(Upload, IsForwardedWhole)
{
	const std::string bytes = body();
	const std::string length =
		"Content-Length: " + std::to_string(bytes.size()) + "\r\n";
	const std::vector<std::string> requests = {
		head(length) + bytes,
		head("Transfer-Encoding: chunked\r\n") + chunked(bytes, 5000),
	};

	for (const std::string &sent : requests) {
		RawSocket client = connect_client();

		send_slowly(client, sent, 20000);
		auto server = accept_connection();
		ASSERT_TRUE(event_loop.run_until([&] {
			size_t end;

			server->poll();
			end = server->received.find("\r\n\r\n");
			return end != std::string::npos &&
			       server->received.size() - end - 4 ==
				       bytes.size();
		}));
		EXPECT_NE(std::string::npos, server->received.find(length));
		EXPECT_EQ(bytes,
			  server->received.substr(
				  server->received.find("\r\n\r\n") + 4));
		server->send("HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
			     "Connection: close\r\nContent-Length: 2\r\n\r\n"
			     "ok");
		ASSERT_TRUE(event_loop.run_until(
			[&] { return client.has("\r\n\r\nok"); }));
	}
}

/* The endpoint sees nothing of an upload that its client did not end. */
TEST_F(Upload, IsNotForwardedIfItIsCutOff)
{
	const std::string bytes = body();
	const std::string with_length =
		head("Content-Length: " + std::to_string(bytes.size()) +
		     "\r\n") +
		bytes;
	const std::string in_chunks =
		head("Transfer-Encoding: chunked\r\n") + chunked(bytes, 5000);
	const struct {
		const char *name;
		std::string sent;
	} cases[] = {
		{"head only",
		 with_length.substr(0, with_length.size() - bytes.size())},
		{"half of the body",
		 with_length.substr(0, with_length.size() / 2)},
		{"all but one byte",
		 with_length.substr(0, with_length.size() - 1)},
		{"in a chunk", in_chunks.substr(0, in_chunks.size() / 2)},
		{"no last chunk", in_chunks.substr(0, in_chunks.size() - 5)},
		{"in the last chunk",
		 in_chunks.substr(0, in_chunks.size() - 2)},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		RawSocket client = connect_client();

		send_slowly(client, c.sent, 50000);
		shutdown(client.fd, SHUT_WR);
		event_loop.run_iterations(20);
		EXPECT_FALSE(endpoint_was_called());
		EXPECT_EQ(std::string::npos,
			  client.received.find("HTTP/1.1 200"));
	}
	EXPECT_EQ(0u, g_hash_table_size(front.calls));
}

/* An upload that may have run is not sent again. */
TEST_F(Upload, RunsOnceWhenItsAnswerIsLost)
{
	RawSocket client = connect_client();

	ql_front_find_service(&front, "a")->budget.tokens = 1;
	client.send(head("Content-Length: 2\r\n") + "up");
	auto server = accept_connection();
	ASSERT_TRUE(event_loop.run_until(
		[&] { return server->has("\r\n\r\nup"); }));
	server.reset();
	ASSERT_TRUE(
		event_loop.run_until([&] { return client.has("\r\n\r\n"); }));
	EXPECT_EQ(0u, client.received.find("HTTP/1.1 502"));
	EXPECT_FALSE(endpoint_was_called());
}

} // namespace
