#include "path/front_internal.h"
#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"near\":{\"path\":\"/near/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000,\"attempts\":1},"
	"\"far\":{\"path\":\"/far/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":true,\"deadline_ms\":60000,\"attempts\":1}}";

/* Where the download is answered, and how its client reads. */
struct FlowCase {
	std::string name;
	const char *path;
	/* The download waits behind a slow request on its connection. */
	bool is_waiting;
	/* Receive buffer of the client, 0 for that of the system. */
	int receive_buffer_bytes;
	/* The client reads a little at a time. */
	bool is_slow_reader;
	size_t body_bytes;
};

/*
 * Guards against a response that is paused for a slow client and never resumed,
 * and against one that is not paused and fills the memory of the node.
 */
class FlowControl : public PathFixture,
		    public testing::WithParamInterface<FlowCase>
{
      protected:
	/* Largest part of a response that may wait in the node. */
	static constexpr size_t kHeldMaxBytes = 512 << 10;

	std::string response;
	size_t sent = 0;

	void SetUp() override
	{
		PathFixture::SetUp();
		ql_instance_report_t more_slots = make_report("i-1", 1, 2);

		set_document(ROUTES);
		register_endpoint();
		more_slots.slots = 8;
		ql_local_gate_apply_report(&gate, &more_slots);
		add_far_endpoint();
		response = make_response("x2", GetParam().body_bytes, 'd');
	}

	static std::string make_response(const char *id, size_t bytes,
					 char letter)
	{
		return std::string("HTTP/1.1 200 OK\r\nSeal: s\r\n"
				   "Quetzalloft-Outcome: answered\r\n"
				   "Quetzalloft-Reason: none\r\n"
				   "Id: ") +
		       id + "\r\nContent-Length: " + std::to_string(bytes) +
		       "\r\n\r\n" + std::string(bytes, letter);
	}

	static std::string request(const char *path, const char *id)
	{
		return std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\n" +
		       "Time-Ms: 60000\r\nId: " + id + "\r\n\r\n";
	}

	std::unique_ptr<RawSocket> accept_request()
	{
		auto server = accept_connection();

		EXPECT_TRUE(event_loop.run_until(
			[&] { return server->has("\r\n\r\n"); }));
		return server;
	}

	/* Sends as much of the download as the node takes. */
	void send_download(RawSocket *server)
	{
		ssize_t n;

		while (sent < response.size() &&
		       (n = ::send(server->fd, response.data() + sent,
				   std::min(response.size() - sent,
					    (size_t)16384),
				   MSG_NOSIGNAL)) > 0) {
			sent += (size_t)n;
			event_loop.run_iterations(1);
		}
	}

	/* Bytes of the responses that the node holds for its clients. */
	size_t held_bytes()
	{
		GHashTableIter iter;
		gpointer key;
		size_t held = 0;

		g_hash_table_iter_init(&iter, front.calls);
		while (g_hash_table_iter_next(&iter, &key, nullptr))
			held += ql_http_exchange_pending(
				static_cast<ql_front_call_t *>(key)->exchange);
		return held;
	}

	void read(RawSocket *client)
	{
		char bytes[2000];
		ssize_t n;

		if (!GetParam().is_slow_reader) {
			client->poll();
			return;
		}
		n = recv(client->fd, bytes, sizeof(bytes), 0);
		if (n > 0)
			client->received.append(bytes, (size_t)n);
	}

	RawSocket connect_reader()
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		int bytes = GetParam().receive_buffer_bytes;
		sockaddr_in address = loopback(port_of(&listener.socket));

		if (bytes)
			setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes,
				   sizeof(bytes));
		EXPECT_EQ(0,
			  connect(fd, (sockaddr *)&address, sizeof(address)));
		return RawSocket(fd);
	}
};

TEST_P(FlowControl, DeliversTheWholeResponse)
{
	const FlowCase &test = GetParam();
	std::unique_ptr<RawSocket> slow;
	RawSocket client = connect_reader();
	size_t held_max = 0;

	if (test.is_waiting) {
		client.send(request("/near/slow", "x1"));
		slow = accept_request();
	}
	client.send(request(test.path, "x2"));
	auto download = accept_request();
	client.send(request("/near/last", "x3"));
	auto last = accept_request();
	last->send(make_response("x3", 1, 'l'));
	for (int i = 0; i < 20; i++) {
		send_download(download.get());
		event_loop.run_iterations(1);
	}
	held_max = held_bytes();
	if (slow)
		slow->send(make_response("x1", 1, 's'));
	EXPECT_TRUE(event_loop.run_until([&] {
		send_download(download.get());
		read(&client);
		held_max = std::max(held_max, held_bytes());
		return client.received.find("Id: x3\r\n") != std::string::npos;
	}));
	EXPECT_EQ(response.size(), sent);
	EXPECT_NE(std::string::npos,
		  client.received.find(std::string(test.body_bytes, 'd')));
	EXPECT_LE(held_max, kHeldMaxBytes);
}

/*
 * Guards against a connection to an endpoint that goes back to its pool while
 * its reading is paused: the answer to the next request on it is never read.
 */
TEST_P(FlowControl, ReadsTheNextResponseOnTheConnection)
{
	const FlowCase &test = GetParam();
	std::unique_ptr<RawSocket> slow;
	RawSocket client = connect_reader();
	RawSocket next_client = connect_client();

	if (test.is_waiting) {
		client.send(request("/near/slow", "x1"));
		slow = accept_request();
	}
	client.send(request(test.path, "x2"));
	auto download = accept_request();
	for (int i = 0; i < 20; i++) {
		send_download(download.get());
		event_loop.run_iterations(1);
	}
	event_loop.run_iterations(20);
	/* A response that is paused before its end ends once it is read. */
	if (slow && g_hash_table_size(front.calls) > 1u) {
		slow->send(make_response("x1", 1, 's'));
		ASSERT_TRUE(event_loop.run_until([&] {
			send_download(download.get());
			read(&client);
			return !g_hash_table_size(front.calls);
		}));
	}
	ASSERT_EQ(response.size(), sent);
	download->received.clear();
	next_client.send(request(test.path, "y"));
	ASSERT_TRUE(event_loop.run_until(
		[&] { return download->has("Id: y\r\n"); }));
	download->send(make_response("y", 1, 'n'));
	EXPECT_TRUE(event_loop.run_until(
		[&] { return next_client.has("Id: y\r\n"); }));
}

std::vector<FlowCase> flow_cases()
{
	std::vector<FlowCase> cases;

	for (const char *path : {"/near/d", "/far/d"})
		for (bool is_waiting : {false, true})
			for (int buffer : {0, 4096})
				for (bool is_slow : {false, true})
					for (size_t bytes :
					     {(size_t)100000, (size_t)270000,
					      (size_t)900000})
						cases.push_back(
							{std::string(
								 path[1] == 'n'
									 ? "Near"
									 : "Far") +
								 (is_waiting
									  ? "Waiting"
									  : "First") +
								 (buffer ? "SmallBuffer"
									 : "LargeBuffer") +
								 (is_slow ? "Slow"
									  : "Quick") +
								 std::to_string(
									 bytes),
							 path, is_waiting,
							 buffer, is_slow,
							 bytes});
	return cases;
}

INSTANTIATE_TEST_SUITE_P(Readers, FlowControl, testing::ValuesIn(flow_cases()),
			 [](const auto &test) { return test.param.name; });

} // namespace
