#include "path/hop_server.h"
#include "path_fixture.h"

namespace
{

const char *ATTEMPT =
	"Quetzalloft-Attempt-Id: 0000000000000001-0000000000000002\r\n";

/* A gate that serves the calls of other nodes. */
class HopServer : public PathFixture
{
      protected:
	ql_hop_server_t server_ = {};
	ql_listener_t gate_listener_;

	void SetUp() override
	{
		ql_listener_opts_t opts = {};

		PathFixture::SetUp();
		set_document("{}");
		register_endpoint();
		server_.gate = &gate;
		server_.data = &front;
		server_.document = [](void *data) {
			return ql_document_ref(
				static_cast<ql_front_t *>(data)->doc);
		};
		server_.version_received = [](void *, uint64_t) {};
		opts.address = loopback(0);
		opts.head_limit_bytes = 16384;
		opts.body_limit_bytes = 1 << 20;
		opts.buffer_limit_bytes = 1 << 24;
		opts.head_timeout_ms = 60000;
		opts.idle_timeout_ms = 60000;
		opts.connections = 100;
		opts.handle = ql_hop_server_handle;
		opts.data = &server_;
		ASSERT_EQ(0,
			  ql_listener_start(&gate_listener_, &event_loop.loop,
					    &opts, nullptr));
	}

	void TearDown() override
	{
		ql_listener_stop(&gate_listener_);
		event_loop.run_iterations(20);
		ql_listener_finish(&gate_listener_);
		PathFixture::TearDown();
	}

	/* Returns the response to a call; the endpoint answers with bytes. */
	std::string call(const std::string &headers, const char *answer)
	{
		RawSocket caller =
			RawSocket::connect_to(port_of(&gate_listener_.socket));

		caller.send("POST /x HTTP/1.1\r\nId: x\r\n"
			    "Quetzalloft-Timeout-Ms: 60000\r\n"
			    "Quetzalloft-Class: low\r\n" +
			    headers + "Content-Length: 0\r\n\r\n");
		if (answer) {
			auto endpoint = accept_connection();

			EXPECT_TRUE(event_loop.run_until(
				[&] { return endpoint->has("\r\n\r\n"); }));
			endpoint->send(answer);
		}
		EXPECT_TRUE(event_loop.run_until(
			[&] { return caller.has("\r\n\r\n"); }));
		return caller.received;
	}
};

struct EchoCase {
	const char *description;
	const char *headers;
	/* NULL if the call does not reach the endpoint. */
	const char *answer;
	const char *outcome;
};

/* The caller tells by it which of two runs of a request a response is of. */
TEST_F(HopServer, EchoesTheAttemptInEachResponse)
{
	const EchoCase cases[] = {
		{"answered", "Quetzalloft-Service: a\r\n",
		 "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
		 "Connection: close\r\nContent-Length: 0\r\n\r\n",
		 "Outcome: answered"},
		{"refused by the endpoint", "Quetzalloft-Service: a\r\n",
		 "HTTP/1.1 503 Busy\r\nId: x\r\nNot-Run: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 "Outcome: not-run"},
		{"failed", "Quetzalloft-Service: a\r\n",
		 "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",
		 "Outcome: unknown"},
		{"refused by the gate", "Quetzalloft-Service: b\r\n", nullptr,
		 "Outcome: not-run"},
		{"malformed", "", nullptr, "Outcome: not-run"},
	};

	for (const EchoCase &test : cases) {
		SCOPED_TRACE(test.description);
		std::string with =
			call(std::string(test.headers) + ATTEMPT, test.answer);
		std::string without = call(test.headers, test.answer);

		EXPECT_NE(std::string::npos, with.find(test.outcome)) << with;
		EXPECT_NE(std::string::npos, with.find(ATTEMPT)) << with;
		EXPECT_EQ(std::string::npos, without.find("Attempt-Id"))
			<< without;
	}
}

/* Callers hear of the load with each answer and each refusal, if it is set. */
TEST_F(HopServer, ReportsTheOccupancyWithoutTheCallItself)
{
	const EchoCase cases[] = {
		{"answered", "Quetzalloft-Service: a\r\n",
		 "HTTP/1.1 200 OK\r\nId: x\r\nSeal: s\r\n"
		 "Connection: close\r\nContent-Length: 0\r\n\r\n",
		 "Quetzalloft-Occupancy: 0\r\n"},
		{"refused by the endpoint", "Quetzalloft-Service: a\r\n",
		 "HTTP/1.1 503 Busy\r\nId: x\r\nNot-Run: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 "Quetzalloft-Occupancy: 0\r\n"},
		{"refused by the gate", "Quetzalloft-Service: b\r\n", nullptr,
		 "Quetzalloft-Occupancy: 0\r\n"},
	};

	for (const EchoCase &test : cases) {
		SCOPED_TRACE(test.description);
		gate.opts.reports_occupancy = false;
		EXPECT_EQ(std::string::npos,
			  call(test.headers, test.answer).find("Occupancy"));
		gate.opts.reports_occupancy = true;
		EXPECT_NE(std::string::npos,
			  call(test.headers, test.answer).find(test.outcome));
	}
}

} // namespace
