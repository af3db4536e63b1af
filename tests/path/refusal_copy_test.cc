#include "path_fixture.h"

namespace
{

const char *ROUTES =
	"{\"near\":{\"path\":\"/near/\",\"service\":\"a\",\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000},"
	"\"far\":{\"path\":\"/far/\",\"service\":\"b\",\"class\":\"low\","
	"\"idempotent\":false,\"deadline_ms\":60000}}";

/* Who refuses: the endpoint, or the gate of another node. */
enum Peer {
	ENDPOINT,
	GATE,
	/* A gate that does not echo the ID of the attempt. */
	EARLIER_GATE
};

/* When the refusal is sent once more, relative to the second request. */
enum When {
	PIPELINED,
	BEFORE,
	AFTER,
	AFTER_IN_TWO_PARTS
};

struct Refusal {
	const char *name;
	const char *head;
};

struct CopyCase {
	Peer peer;
	Refusal refusal;
	When when;
	/* The copy has the ID of the request. */
	bool has_id;
};

const char *ATTEMPT = "Quetzalloft-Attempt-Id: ";

/*
 * A peer refuses a request that must not be repeated. The client sends the same
 * request again, with the same ID. The peer runs it, and writes its refusal
 * once more on the connection of the refusal. The client must not be told that
 * the request has not run, and the request must not be sent again.
 */
class RefusalCopy : public PathFixture,
		    public testing::WithParamInterface<CopyCase>
{
      protected:
	/* The connection that carried the last request. */
	std::shared_ptr<RawSocket> peer_;
	/* The header with the attempt of that request, if the peer echoes it.
	 */
	std::string attempt_;

	void SetUp() override
	{
		PathFixture::SetUp();
		set_document(ROUTES);
		register_endpoint();
		add_far_endpoint();
	}

	static std::string request()
	{
		return std::string("POST ") +
		       (GetParam().peer == ENDPOINT ? "/near/" : "/far/") +
		       " HTTP/1.1\r\nHost: h\r\nId: x\r\n"
		       "Content-Length: 0\r\n\r\n";
	}

	/* Reads the next request from the old or a new connection. */
	void await_request()
	{
		size_t end = 0;
		int fd = -1;

		if (peer_)
			peer_->received.clear();
		ASSERT_TRUE(event_loop.run_until([&] {
			fd = accept(endpoint_listener, nullptr, nullptr);
			return fd >= 0 || (peer_ && peer_->has("\r\n\r\n"));
		}));
		if (fd >= 0)
			peer_ = std::make_shared<RawSocket>(fd);
		ASSERT_TRUE(event_loop.run_until(
			[&] { return peer_->has("\r\n\r\n"); }));
		attempt_.clear();
		size_t start = peer_->received.find(ATTEMPT);

		if (start == std::string::npos || GetParam().peer != GATE)
			return;
		end = peer_->received.find("\r\n", start);
		attempt_ = peer_->received.substr(start, end + 2 - start);
	}

	std::string refusal(bool has_id)
	{
		return std::string("HTTP/1.1 ") + GetParam().refusal.head +
		       "\r\n" + (has_id ? "Id: x\r\n" : "") + attempt_ +
		       "Content-Length: 0\r\n\r\n";
	}

	std::string answer()
	{
		return "HTTP/1.1 200 OK\r\nSeal: s\r\nId: x\r\n"
		       "Quetzalloft-Outcome: answered\r\n"
		       "Quetzalloft-Reason: none\r\n" +
		       attempt_ + "Content-Length: 3\r\n\r\nran";
	}

	/* Writes also to a connection that the node has closed. */
	void write(const RawSocket &peer, const std::string &bytes)
	{
		::send(peer.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		event_loop.run_iterations(5);
	}
};

TEST_P(RefusalCopy, ProvesNothingAboutTheNextRun)
{
	const CopyCase &test = GetParam();
	RawSocket first = connect_client(), second = connect_client();
	std::string copy;

	first.send(request());
	await_request();
	auto refuser = peer_;

	copy = refusal(test.has_id);
	write(*refuser,
	      test.when == PIPELINED ? refusal(true) + copy : refusal(true));
	ASSERT_TRUE(
		event_loop.run_until([&] { return first.has("\r\n\r\n"); }));
	if (test.when == BEFORE)
		write(*refuser, copy);
	second.send(request());
	await_request();
	if (test.when == AFTER) {
		write(*refuser, copy);
	} else if (test.when == AFTER_IN_TWO_PARTS) {
		write(*refuser, copy.substr(0, copy.size() / 2));
		write(*refuser, copy.substr(copy.size() / 2));
	}
	write(*peer_, answer());
	ASSERT_TRUE(
		event_loop.run_until([&] { return second.has("\r\n\r\n"); }));
	EXPECT_EQ(std::string::npos, second.received.find("not-run"))
		<< second.received;
	EXPECT_TRUE(second.received.find("HTTP/1.1 200") == 0 ||
		    second.received.find("HTTP/1.1 502") == 0)
		<< second.received;
	EXPECT_EQ(2u, counter_value(QL_COUNT_ATTEMPTS));
	if (second.received.find("HTTP/1.1 502") == 0) {
		EXPECT_TRUE(event_loop.run_until(
			[&] { return peer_->is_closed_by_peer(); }));
	}
}

const char *name_of(Peer peer)
{
	return peer == ENDPOINT ? "Endpoint"
	       : peer == GATE	? "Gate"
				: "EarlierGate";
}

const char *name_of(When when)
{
	const char *const names[] = {"Pipelined", "Before", "After",
				     "AfterInTwoParts"};

	return names[when];
}

std::vector<CopyCase> copy_cases()
{
	const Refusal by_endpoint[] = {
		{"Busy", "503 Busy\r\nNot-Run: 1"},
		{"RateLimit", "429 Slow down\r\nNot-Run: 1"},
		{"AnotherInstance", "421 Misdirected"},
		{"BusyUnmarked", "503 Busy"},
		{"RateLimitUnmarked", "429 Slow down"},
	};
	const Refusal by_gate[] = {
		{"EndpointRefused",
		 "503 Service Unavailable\r\nQuetzalloft-Outcome: not-run\r\n"
		 "Quetzalloft-Reason: endpoint-refused"},
		{"BusyAnswered", "503 Busy\r\nQuetzalloft-Outcome: answered\r\n"
				 "Quetzalloft-Reason: none"},
		{"RateLimitAnswered",
		 "429 Slow down\r\nQuetzalloft-Outcome: answered\r\n"
		 "Quetzalloft-Reason: none"},
	};
	std::vector<CopyCase> out;

	for (When when : {PIPELINED, BEFORE, AFTER, AFTER_IN_TWO_PARTS})
		for (bool has_id : {true, false}) {
			for (const Refusal &refusal : by_endpoint)
				out.push_back(
					{ENDPOINT, refusal, when, has_id});
			for (const Refusal &refusal : by_gate) {
				out.push_back({GATE, refusal, when, has_id});
				out.push_back(
					{EARLIER_GATE, refusal, when, has_id});
			}
		}
	return out;
}

INSTANTIATE_TEST_SUITE_P(Peers, RefusalCopy, testing::ValuesIn(copy_cases()),
			 [](const auto &test) {
				 const CopyCase &c = test.param;

				 return std::string(name_of(c.peer)) +
					c.refusal.name + name_of(c.when) +
					(c.has_id ? "" : "WithoutId");
			 });

} // namespace
